// The command `tamaracklatch check`: validates settings and documents without
// running anything.
#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace tamaracklatch {

// Tells by its keys whether each file is a service document or the settings of
// a control daemon, a balancer or a target daemon, checks it, and prints one
// line for a good file and one line for each fault of a bad one. Reads the link
// key file that settings name.
// Exit code: 0 all are good, 1 one is not, 2 wrong use.
int RunCheck(const std::vector<std::string>& files, std::ostream& out,
             std::ostream& errors);

}  // namespace tamaracklatch
