// Encoding of members, configurations and log entries, which messages between
// members and the files of the log share.
#pragma once

#include "tamaracklatch/consensus/consensus_types.h"
#include "tamaracklatch/transport/wire.h"

namespace tamaracklatch {

void WriteMember(wire_writer* writer, const member_id& id);
// Makes the reader fail if the name is longer than any VM's name may be.
member_id ReadMember(wire_reader* reader);

void WriteConfiguration(wire_writer* writer,
                        const voter_configuration& configuration);
// Returns false for a configuration that is malformed, has more than
// kMaxMembers members in a list, or violates the invariants of
// voter_configuration.
bool ReadConfiguration(wire_reader* reader, voter_configuration* configuration);

void WriteEntry(wire_writer* writer, const log_entry& entry);
// Returns false for an entry that is malformed or holds a malformed
// configuration.
bool ReadEntry(wire_reader* reader, log_entry* entry);

}  // namespace tamaracklatch
