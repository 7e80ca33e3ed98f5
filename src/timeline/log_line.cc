// JSON by hand, into a buffer that is used again.
#include "timeline/log_line.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <ctime>
#include <iterator>

namespace tamaracklatch {
namespace {

constexpr std::string_view kReplacement = "\xEF\xBF\xBD";

std::uint8_t ByteAt(std::string_view text, std::size_t at) {
  return static_cast<std::uint8_t>(text[at]);
}

// Bytes of the UTF-8 sequence at `at`; 0 where there is no valid one.
std::size_t SequenceAt(std::string_view text, std::size_t at) {
  const std::uint8_t first = ByteAt(text, at);
  if (first < 0x80) return 1;
  std::size_t size = 0;
  // The second byte's range keeps out overlong forms, surrogates and numbers
  // past U+10FFFF.
  std::uint8_t low = 0x80;
  std::uint8_t high = 0xBF;
  if (first >= 0xC2 && first <= 0xDF) {
    size = 2;
  } else if (first >= 0xE0 && first <= 0xEF) {
    size = 3;
    if (first == 0xE0) low = 0xA0;
    if (first == 0xED) high = 0x9F;
  } else if (first >= 0xF0 && first <= 0xF4) {
    size = 4;
    if (first == 0xF0) low = 0x90;
    if (first == 0xF4) high = 0x8F;
  }
  if (size == 0 || at + size > text.size()) return 0;
  if (ByteAt(text, at + 1) < low || ByteAt(text, at + 1) > high) return 0;
  for (std::size_t i = 2; i < size; ++i) {
    if ((ByteAt(text, at + i) & 0xC0U) != 0x80) return 0;
  }
  return size;
}

void Append(std::string_view text, fmt::memory_buffer* line) {
  line->append(text.data(), text.data() + text.size());
}

void AppendEscaped(char letter, fmt::memory_buffer* line) {
  switch (letter) {
    case '"':
      return Append("\\\"", line);
    case '\\':
      return Append("\\\\", line);
    case '\n':
      return Append("\\n", line);
    default:
      fmt::format_to(std::back_inserter(*line), "\\u{:04x}",
                     static_cast<unsigned>(letter));
  }
}

bool NeedsEscape(std::uint8_t byte) {
  return byte < 0x20 || byte == '"' || byte == '\\';
}

void AppendName(std::string_view name, fmt::memory_buffer* line) {
  Append(",\"", line);
  Append(name, line);
  Append("\":", line);
}

void AppendField(std::string_view name, std::string_view value,
                 fmt::memory_buffer* line) {
  if (value.empty()) return;
  AppendName(name, line);
  AppendJsonText(value, line);
}

void AppendNumber(std::string_view name, std::uint64_t value,
                  fmt::memory_buffer* line) {
  if (value == 0) return;
  AppendName(name, line);
  Append(fmt::format_int(value).c_str(), line);
}

struct value_writer {
  fmt::memory_buffer* line;

  void operator()(std::int64_t value) const {
    fmt::format_to(std::back_inserter(*line), "{}", value);
  }
  void operator()(double value) const {
    // JSON has no infinity and no NaN.
    if (std::isfinite(value)) {
      fmt::format_to(std::back_inserter(*line), "{}", value);
    } else {
      Append("null", line);
    }
  }
  void operator()(bool value) const { Append(value ? "true" : "false", line); }
  void operator()(const std::string& value) const {
    AppendJsonText(value, line);
  }
};

void AppendInputs(const std::vector<event_input>& inputs,
                  fmt::memory_buffer* line) {
  if (inputs.empty()) return;
  Append(",\"inputs\":{", line);
  const std::size_t count = std::min(inputs.size(), kMaxLogInputs);
  for (std::size_t i = 0; i < count; ++i) {
    if (i > 0) line->push_back(',');
    AppendJsonText(inputs[i].name, line);
    line->push_back(':');
    std::visit(value_writer{line}, inputs[i].value);
  }
  line->push_back('}');
}

void AppendFlow(const event& what, fmt::memory_buffer* line) {
  if (what.flow || what.key) {
    fmt::format_to(std::back_inserter(*line), ",\"flow\":\"{:016x}\"",
                   what.flow ? *what.flow : HashFlow(*what.key));
  }
  if (!what.key) return;
  const flow_key& key = *what.key;
  fmt::format_to(std::back_inserter(*line),
                 ",\"caller\":\"{}\",\"address\":\"{}\"",
                 ToString(endpoint{key.source, key.source_port}),
                 ToString(endpoint{key.destination, key.destination_port}));
}

}  // namespace

void AppendJsonText(std::string_view text, fmt::memory_buffer* line) {
  text = text.substr(0, kMaxLogText);
  line->push_back('"');
  std::size_t plain = 0;  // from here on nothing was copied yet
  std::size_t at = 0;
  while (at < text.size()) {
    const std::uint8_t byte = ByteAt(text, at);
    if (byte < 0x80 && !NeedsEscape(byte)) {
      ++at;
      continue;
    }
    const std::size_t size = SequenceAt(text, at);
    if (size > 1) {
      at += size;
      continue;
    }
    Append(text.substr(plain, at - plain), line);
    if (size == 0) {
      Append(kReplacement, line);
    } else {
      AppendEscaped(text[at], line);
    }
    plain = ++at;
  }
  Append(text.substr(plain), line);
  line->push_back('"');
}

log_line_writer::log_line_writer(const log_source& source) {
  fmt::memory_buffer fields;
  AppendField("process", source.process, &fields);
  AppendField("zone", source.zone, &fields);
  AppendField("node", source.node, &fields);
  source_ = fmt::to_string(fields);
}

void log_line_writer::AppendTime(wall_time wall) {
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          wall.time_since_epoch())
          .count();
  const std::int64_t second = milliseconds / 1000;
  if (second != second_) {
    const std::time_t seconds = second;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> text{};
    const std::size_t size =
        std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    second_text_.assign(text.data(), size);
    second_ = second;
  }
  fmt::format_to(std::back_inserter(line_), "{{\"time\":\"{}.{:03}Z\"",
                 second_text_, milliseconds % 1000);
}

std::string_view log_line_writer::Write(const event& what,
                                        std::string_view level,
                                        const log_time& when) {
  line_.clear();
  AppendTime(when.wall);
  const auto steady = std::chrono::duration_cast<std::chrono::milliseconds>(
      when.steady.time_since_epoch());
  fmt::format_to(std::back_inserter(line_),
                 ",\"steady_ms\":{},\"level\":\"{}\"{},\"number\":{},"
                 "\"event\":\"{}\"",
                 steady.count(), level, source_, static_cast<unsigned>(what.id),
                 ToString(what.id));
  AppendNumber("revision", what.at.value, &line_);
  AppendNumber("version", what.version, &line_);
  AppendField("service", what.service, &line_);
  AppendField("route", what.route, &line_);
  AppendFlow(what, &line_);
  AppendField("request", what.request, &line_);
  AppendField("submission", what.submission, &line_);
  AppendField("peer", what.peer, &line_);
  if (what.code != result_code::kOk) {
    fmt::format_to(std::back_inserter(line_), ",\"code\":{},\"reason\":\"{}\"",
                   static_cast<unsigned>(what.code), ToString(what.code));
  }
  AppendField("detail", what.detail, &line_);
  AppendInputs(what.inputs, &line_);
  line_.push_back('}');
  return {line_.data(), line_.size()};
}

}  // namespace tamaracklatch
