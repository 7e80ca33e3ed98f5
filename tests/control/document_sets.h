// Document sets for tests.
#pragma once

#include <rapidcheck.h>

#include <cstdint>
#include <string>

#include "tamaracklatch/control/control_command.h"
#include "tamaracklatch/control/document_set.h"

namespace tamaracklatch::test {

// A valid set; `content` changes its shares.
inline document_set MakeSet(std::uint64_t version, std::uint32_t routes = 1,
                            std::uint32_t content = 0) {
  document_set set;
  set.version = version;
  set.services = {"desk", "cards"};
  set.idle_timeout = std::chrono::seconds(15);
  for (std::uint32_t i = 0; i < routes; ++i) {
    set.routes.push_back(
        {"route-" + std::to_string(i),
         {MakeV4(0xc6120000U + i / 4), static_cast<std::uint16_t>(443 + i % 4)},
         {{"desk", 1 + content}, {"cards", i % 3}}});
  }
  return set;
}

// The text that an operator would send for it.
inline std::string SourceOf(const document_set& set) {
  return "set " + std::to_string(set.version) + ":" +
         std::to_string(set.routes.size()) + ":" +
         std::to_string(set.routes.front().shares.front().weight);
}

inline control_command ReplaceCommand(const document_set& set,
                                      const std::string& source) {
  control_command command;
  command.tag = set.version;
  command.body = replace_document_set{EncodeDocumentSet(set), source,
                                      "operator", set.version};
  return command;
}

// Bytes that a decoder may meet: noise, or `whole` cut or with one byte
// changed.
inline std::string BrokenBytes(const std::string& whole) {
  if (*rc::gen::inRange(0, 4) == 0) return *rc::gen::arbitrary<std::string>();
  std::string bytes = whole;
  const auto at = *rc::gen::inRange<std::size_t>(0, whole.size());
  if (*rc::gen::arbitrary<bool>()) return bytes.substr(0, at);
  bytes[at] = *rc::gen::arbitrary<char>();
  return bytes;
}

}  // namespace tamaracklatch::test
