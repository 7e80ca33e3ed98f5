// Tests of `tamaracklatch check`.
#include "tamaracklatch/daemon/check_command.h"

#include <criterion/criterion.h>
#include <stdlib.h>  // NOLINT(modernize-deprecated-headers): mkdtemp
#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>
#include <vector>

namespace tamaracklatch {
namespace {

struct check_row {
  const char* text;
  int exit_code;
  const char* said;
};

const std::vector<check_row> kRows{
    {R"({"service": "a", "version": 1, "addresses": ["127.0.0.1:1/udp"]})", 0,
     "document of a, version 1"},
    {R"({"service": "a", "version": 0, "addresses": ["127.0.0.1:1/udp"]})", 1,
     "version: 0"},
    {R"({"name": "b", "vm": "v", "zone": "z", "listen_http": "127.0.0.1:1",
         "link_key": "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f",
         "packets": "127.0.0.1:1", "control": ["127.0.0.1:2"]})",
     0, "settings of balancer b"},
    {R"({"name": "b", "vm": "v", "zone": "z", "listen_http": "127.0.0.1:1",
         "link_key_file": "missing", "packets": "127.0.0.1:1",
         "control": ["127.0.0.1:2"]})",
     1, "settings_file_unreadable (220): link_key_file"},
    {R"({"name": "c", "voters": []})", 1, "0 voters"},
    {R"({"name": "t", "capacity": 0})", 1, "capacity: 0"},
    {R"({"name": "t", "vm": "v"})", 1, "zone: is missing"},
    {R"({"version": 7, "services": ["a"], "routes": []})", 0,
     "document set, version 7, 0 routes, 1 services"},
    {R"({"version": 7, "services": [], "routes": [{"name": "r",
         "where": "1.2.3.4:5", "shares": [{"service": "a"}]}]})",
     1, "set_invalid (530): routes[0].shares[0].service"},
    {"{", 1, "document_syntax (200)"},
    {"[]", 1, "not an object"},
};

Test(check_command, tells_what_a_file_is_and_every_fault) {
  std::string folder = "/tmp/tamaracklatch-check-XXXXXX";
  cr_assert(mkdtemp(folder.data()) != nullptr);
  const std::string path = folder + "/file.json";
  for (const check_row& row : kRows) {
    std::ofstream(path) << row.text;
    std::ostringstream out;
    std::ostringstream errors;
    cr_expect(RunCheck({path}, out, errors) == row.exit_code, "%s", row.text);
    const std::string said = out.str() + errors.str();
    cr_expect(said.find(row.said) != std::string::npos, "%s: %s", row.text,
              said.c_str());
  }
  unlink(path.c_str());
  rmdir(folder.c_str());
}

Test(check_command, wrong_use) {
  std::ostringstream out;
  std::ostringstream errors;
  cr_expect(RunCheck({}, out, errors) == 2);
  cr_expect(RunCheck({"/no/such/file"}, out, errors) == 1);
  cr_expect(errors.str().find("/no/such/file") != std::string::npos);
}

}  // namespace
}  // namespace tamaracklatch
