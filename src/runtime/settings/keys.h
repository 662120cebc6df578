#pragma once

#include <algorithm>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "runtime/settings/document.h"
#include "runtime/settings/fault.h"

namespace dottereltrack {

// Describes one key of a settings file whose values are kept in a T.
template <typename T>
struct SettingKey {
  std::string name;
  std::string meaning;
  std::string allowed;
  bool required = false;
  // The value must not be shown.
  bool secret = false;
  // Stores the value; false if it is not allowed.
  std::function<bool(T*, const nlohmann::json&)> read;
  std::function<nlohmann::json(const T&)> write;
};

// A limit between several keys.
template <typename T>
struct SettingRule {
  // The key that the fault is reported for.
  std::string key;
  std::string allowed;
  std::string remedy;
  std::function<bool(const T&)> holds;
};

// All that is known of the settings of one daemon.
template <typename T>
struct SettingsSchema {
  std::vector<SettingKey<T>> keys;
  std::vector<SettingRule<T>> rules;
};

// What was found for a key, for a message; a secret is not shown.
std::string DescribeValue(const nlohmann::json& value, bool secret);

// The fault of a key that no daemon of this kind knows.
SettingsFault UnknownKey(const std::string& key, std::size_t line,
                         const std::vector<std::string>& known);

// One "key": value line with the meaning as a comment, for --print-settings. A
// value that cannot stand in a file is commented out.
std::string RenderKey(const std::string& name, const std::string& meaning,
                      const std::string& allowed, const std::string& value,
                      bool is_readable, bool is_last);

// Reads the keys of the schema that the document has into `settings`.
template <typename T>
void ReadKnownKeys(const SettingsSchema<T>& schema,
                   const SettingsDocument& document, T* settings,
                   std::vector<SettingsFault>* faults) {
  for (const SettingKey<T>& key : schema.keys) {
    const auto it = document.values.find(key.name);
    if (it == document.values.end()) {
      if (!key.required) continue;
      faults->push_back({key.name, 0, "no such key", key.allowed,
                         "add the key: " + key.meaning});
    } else if (!key.read(settings, *it)) {
      faults->push_back({key.name, LineOf(document, key.name),
                         DescribeValue(*it, key.secret), key.allowed,
                         "set it to an allowed value: " + key.meaning});
    }
  }
}

// Adds a fault for each key that the schema lacks.
template <typename T>
void FindUnknownKeys(const SettingsSchema<T>& schema,
                     const SettingsDocument& document,
                     std::vector<SettingsFault>* faults) {
  std::vector<std::string> known;
  for (const SettingKey<T>& key : schema.keys) known.push_back(key.name);
  for (const auto& item : document.values.items()) {
    const std::string& name = item.key();
    if (std::find(known.begin(), known.end(), name) != known.end()) continue;
    faults->push_back(UnknownKey(name, LineOf(document, name), known));
  }
}

// Adds a fault for each limit between keys that does not hold.
template <typename T>
void CheckRules(const SettingsSchema<T>& schema,
                const SettingsDocument& document, const T& settings,
                std::vector<SettingsFault>* faults) {
  for (const SettingRule<T>& rule : schema.rules) {
    if (rule.holds(settings)) continue;
    const auto key = std::find_if(
        schema.keys.begin(), schema.keys.end(),
        [&](const SettingKey<T>& it) { return it.name == rule.key; });
    faults->push_back({rule.key, LineOf(document, rule.key),
                       key->write(settings).dump(), rule.allowed, rule.remedy});
  }
}

// Reads the document into `settings` and adds every fault, by line. A key with
// a fault keeps its default while the limits between keys are checked.
template <typename T>
void ReadKeys(const SettingsSchema<T>& schema, const SettingsDocument& document,
              T* settings, std::vector<SettingsFault>* faults) {
  ReadKnownKeys(schema, document, settings, faults);
  FindUnknownKeys(schema, document, faults);
  CheckRules(schema, document, *settings, faults);
  std::stable_sort(faults->begin(), faults->end(),
                   [](const SettingsFault& a, const SettingsFault& b) {
                     return a.line < b.line;
                   });
}

// The settings as a file with comments. Secrets are not shown.
template <typename T>
std::string RenderSettings(const SettingsSchema<T>& schema, const T& settings) {
  std::string text = "{\n";
  for (std::size_t n = 0; n < schema.keys.size(); ++n) {
    const SettingKey<T>& key = schema.keys[n];
    const nlohmann::json value = key.write(settings);
    T scratch;
    const bool is_readable = !key.secret && key.read(&scratch, value);
    text += RenderKey(key.name, key.meaning, key.allowed,
                      key.secret ? "(not shown)" : value.dump(), is_readable,
                      n + 1 == schema.keys.size());
  }
  return text + "}\n";
}

}  // namespace dottereltrack
