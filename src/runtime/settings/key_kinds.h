#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/cell.h"
#include "core/time.h"
#include "runtime/log/log.h"
#include "runtime/settings/endpoint_text.h"
#include "runtime/settings/keys.h"

namespace dottereltrack {

// Each function below creates the description of one settings key. `member` is
// a function that returns a reference to the value within a T.

template <typename T>
SettingKey<T> MakeSettingKey(const std::string& name,
                             const std::string& meaning,
                             const std::string& allowed) {
  SettingKey<T> key;
  key.name = name;
  key.meaning = meaning;
  key.allowed = allowed;
  return key;
}

// Returns the value if it is an integer within the range, otherwise nullopt.
inline std::optional<std::int64_t> ReadIntegerInRange(
    const nlohmann::json& value, std::int64_t min, std::int64_t max) {
  if (!value.is_number_integer()) return std::nullopt;
  if (value.is_number_unsigned() &&
      value.get<std::uint64_t>() > static_cast<std::uint64_t>(max)) {
    return std::nullopt;
  }
  const auto n = value.get<std::int64_t>();
  if (n < min || n > max) return std::nullopt;
  return n;
}

inline std::string FormatRange(std::int64_t min, std::int64_t max) {
  return std::to_string(min) + " to " + std::to_string(max);
}

// A duration in whole milliseconds; the names of these keys end in _ms.
template <typename T, typename Member>
SettingKey<T> DurationKey(const std::string& name, Member member,
                          std::int64_t min, std::int64_t max,
                          const std::string& meaning) {
  SettingKey<T> key = MakeSettingKey<T>(name, meaning, FormatRange(min, max));
  key.read = [=](T* settings, const nlohmann::json& value) {
    const auto n = ReadIntegerInRange(value, min, max);
    if (n) member(*settings) = milliseconds{*n};
    return n.has_value();
  };
  key.write = [=](const T& settings) -> nlohmann::json {
    return member(settings).count();
  };
  return key;
}

// A number of items or bytes; the names of keys in bytes end in _bytes.
template <typename T, typename Member>
SettingKey<T> NumberKey(const std::string& name, Member member,
                        std::int64_t min, std::int64_t max,
                        const std::string& meaning) {
  SettingKey<T> key = MakeSettingKey<T>(name, meaning, FormatRange(min, max));
  key.read = [=](T* settings, const nlohmann::json& value) {
    const auto n = ReadIntegerInRange(value, min, max);
    if (n) {
      auto& target = member(*settings);
      target = static_cast<std::decay_t<decltype(target)>>(*n);
    }
    return n.has_value();
  };
  key.write = [=](const T& settings) -> nlohmann::json {
    return member(settings);
  };
  return key;
}

// A string of 1 to `max_bytes` bytes.
template <typename T, typename Member>
SettingKey<T> StringKey(const std::string& name, Member member,
                        std::size_t max_bytes, const std::string& meaning) {
  SettingKey<T> key = MakeSettingKey<T>(
      name, meaning, "a text of 1 to " + std::to_string(max_bytes) + " bytes");
  key.read = [=](T* settings, const nlohmann::json& value) {
    if (!value.is_string()) return false;
    const auto text = value.get<std::string>();
    if (text.empty() || text.size() > max_bytes) return false;
    member(*settings) = text;
    return true;
  };
  key.write = [=](const T& settings) -> nlohmann::json {
    return member(settings);
  };
  return key;
}

// An IP address with a port. `min_port` is 0 if port 0, which selects a free
// port, is allowed.
template <typename T, typename Member>
SettingKey<T> EndpointKey(const std::string& name, Member member, int min_port,
                          const std::string& meaning) {
  SettingKey<T> key = MakeSettingKey<T>(
      name, meaning,
      "\"IP:PORT\" with a port from " + std::to_string(min_port) + " to 65535");
  key.read = [=](T* settings, const nlohmann::json& value) {
    if (!value.is_string()) return false;
    const auto endpoint = ParseEndpoint(value.get<std::string>());
    if (!endpoint || endpoint->port < min_port) return false;
    member(*settings) = *endpoint;
    return true;
  };
  key.write = [=](const T& settings) -> nlohmann::json {
    return ToText(member(settings));
  };
  return key;
}

// A list of `min_items` to `max_items` IP addresses with port.
template <typename T, typename Member>
SettingKey<T> EndpointListKey(const std::string& name, Member member,
                              std::size_t min_items, std::size_t max_items,
                              const std::string& meaning) {
  SettingKey<T> key =
      MakeSettingKey<T>(name, meaning,
                        "a list of " + std::to_string(min_items) + " to " +
                            std::to_string(max_items) + " texts \"IP:PORT\"");
  key.read = [=](T* settings, const nlohmann::json& value) {
    if (!value.is_array() || value.size() < min_items ||
        value.size() > max_items) {
      return false;
    }
    std::vector<Endpoint> list;
    for (const auto& item : value) {
      if (!item.is_string()) return false;
      const auto endpoint = ParseEndpoint(item.get<std::string>());
      if (!endpoint || endpoint->port == 0) return false;
      list.push_back(*endpoint);
    }
    member(*settings) = std::move(list);
    return true;
  };
  key.write = [=](const T& settings) -> nlohmann::json {
    nlohmann::json list = nlohmann::json::array();
    for (const Endpoint& it : member(settings)) list.push_back(ToText(it));
    return list;
  };
  return key;
}

// The log keys, common to all daemons. `member` returns the LogSettings.
template <typename T, typename Member>
SettingKey<T> LogLevelKey(Member member) {
  SettingKey<T> key = MakeSettingKey<T>(
      "log_level", "Least severe lines that are logged.",
      "\"debug\", \"info\", \"warning\", \"error\" or \"off\"");
  key.read = [=](T* settings, const nlohmann::json& value) {
    if (!value.is_string()) return false;
    const auto level = ParseLogLevel(value.get<std::string>());
    if (level) member(*settings).level = *level;
    return level.has_value();
  };
  key.write = [=](const T& settings) -> nlohmann::json {
    return ToString(member(settings).level);
  };
  return key;
}

template <typename T, typename Member>
SettingKey<T> LogPartLevelsKey(Member member) {
  SettingKey<T> key = MakeSettingKey<T>(
      "log_part_levels", "Levels of single parts, as {\"links\": \"debug\"}.",
      "an object of parts (main, settings, http, links, store, "
      "cell, minion) and levels");
  key.read = [=](T* settings, const nlohmann::json& value) {
    if (!value.is_object()) return false;
    for (const auto& item : value.items()) {
      const auto part = ParseLogPart(item.key());
      if (!part || !item.value().is_string()) return false;
      const auto level = ParseLogLevel(item.value().get<std::string>());
      if (!level) return false;
      member(*settings).part_levels[*part] = *level;
    }
    return true;
  };
  key.write = [=](const T& settings) {
    nlohmann::json parts = nlohmann::json::object();
    for (const auto& [part, level] : member(settings).part_levels) {
      parts[ToString(part)] = ToString(level);
    }
    return parts;
  };
  return key;
}

template <typename T, typename Member>
SettingKey<T> LogFormatKey(Member member) {
  SettingKey<T> key = MakeSettingKey<T>("log_format", "Form of the log lines.",
                                        "\"text\" or \"json\"");
  key.read = [=](T* settings, const nlohmann::json& value) {
    if (value != "text" && value != "json") return false;
    member(*settings).json_lines = value == "json";
    return true;
  };
  key.write = [=](const T& settings) -> nlohmann::json {
    return member(settings).json_lines ? "json" : "text";
  };
  return key;
}

}  // namespace dottereltrack
