#pragma once

#include <algorithm>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "runtime/settings/document.h"
#include "runtime/settings/fault.h"

namespace dottereltrack {

// Describes one key of a settings file; the value is stored in a T.
template <typename T>
struct SettingKey {
  std::string name;
  std::string meaning;
  std::string allowed;
  bool required = false;
  // The value must not appear in any output.
  bool secret = false;
  // Stores the value. Returns false if the value is not allowed.
  std::function<bool(T*, const nlohmann::json&)> read;
  std::function<nlohmann::json(const T&)> write;
};

// A constraint that involves several keys.
template <typename T>
struct SettingRule {
  // The key for which a violation is reported.
  std::string key;
  std::string allowed;
  std::string remedy;
  std::function<bool(const T&)> holds;
};

// The keys and constraints of the settings of one daemon.
template <typename T>
struct SettingsSchema {
  std::vector<SettingKey<T>> keys;
  std::vector<SettingRule<T>> rules;
};

// Formats the value of a key for an error message. A secret value is hidden.
std::string DescribeValue(const nlohmann::json& value, bool secret);

// Returns the error for a key that is not in the schema.
SettingsFault UnknownKey(const std::string& key, std::size_t line,
                         const std::vector<std::string>& known);

// Formats one "key": value line with the meaning as a comment, for
// --print-settings. A value that could not be read back is commented out.
std::string RenderKey(const std::string& name, const std::string& meaning,
                      const std::string& allowed, const std::string& value,
                      bool is_readable, bool is_last);

// Reads the keys of the schema from the document into `settings`. Reports
// invalid values and missing required keys.
template <typename T>
void ReadKnownKeys(const SettingsSchema<T>& schema,
                   const SettingsDocument& document, T* settings,
                   std::vector<SettingsFault>* faults) {
  for (const SettingKey<T>& key : schema.keys) {
    const auto it = document.values.find(key.name);
    if (it == document.values.end()) {
      if (!key.required) continue;
      faults->push_back({key.name, 0, "no value for this required key",
                         key.allowed, "add the key: " + key.meaning});
    } else if (!key.read(settings, *it)) {
      faults->push_back({key.name, LineOf(document, key.name),
                         DescribeValue(*it, key.secret), key.allowed,
                         "set it to an allowed value: " + key.meaning});
    }
  }
}

// Reports each key of the document that is not in the schema.
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

// Reports each violated constraint between keys.
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

// Reads the document into `settings` and appends all errors, sorted by line. A
// key with an invalid value keeps its default while the constraints between
// keys are checked.
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

// Formats the settings as a commented settings file. Secrets are hidden.
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
