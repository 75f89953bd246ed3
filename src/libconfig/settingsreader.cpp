/// \file settingsreader.cpp
/// Reads the keys of a JSON object and validates their values.
#include "wigeonsill/config.h"

#include <algorithm>

namespace wigeonsill {

namespace json = boost::json;

std::string toString(const SettingsProblem &problem)
{
    const ResultInfo &info = resultInfo(problem.code);
    std::string text = problem.file;
    if (problem.line > 0) {
        text += ":" + std::to_string(problem.line);
    }
    text += ": " + (problem.key.empty() ? std::string("(whole file)") : problem.key);
    text += ": E" + std::to_string(static_cast<int>(problem.code)) + " " + std::string(info.name);
    return text + ": " + problem.expected;
}

namespace {

const json::object emptyObject;

std::string rangeText(std::string_view kind, const std::string &minimum, const std::string &maximum)
{
    return "expected " + std::string(kind) + " from " + minimum + " to " + maximum;
}

} // namespace

SettingsReader::SettingsReader(
    const JsonDocument &sourceDocument, std::vector<SettingsProblem> &problemList)
    : SettingsReader(sourceDocument, problemList, sourceDocument.value().if_object(), {})
{
    if (sourceDocument.value().if_object() == nullptr) {
        this->report({}, ResultCode::SettingsWrongType, "expected an object");
    }
}

SettingsReader::SettingsReader(const JsonDocument &sourceDocument,
    std::vector<SettingsProblem> &problemList, const json::object *object, std::string objectPath)
    : document(&sourceDocument)
    , problems(&problemList)
    , currentObject(object == nullptr ? &emptyObject : object)
    , path(std::move(objectPath))
{
}

std::string SettingsReader::pathOf(std::string_view key) const
{
    if (this->path.empty() || key.empty()) {
        return this->path + std::string(key);
    }
    return this->path + "." + std::string(key);
}

void SettingsReader::markKnown(std::string_view key)
{
    this->knownKeys.emplace_back(key);
}

bool SettingsReader::has(std::string_view key) const
{
    return this->currentObject->contains({ key.data(), key.size() });
}

void SettingsReader::report(std::string_view key, ResultCode code, std::string expected)
{
    const std::string full = this->pathOf(key);
    int line = this->document->lineOf(full);
    if (line == 0) {
        line = this->document->lineOf(this->path);
    }
    this->problems->push_back({ this->document->file(), line, full, code, std::move(expected) });
}

const json::value *SettingsReader::find(std::string_view key, bool required)
{
    this->markKnown(key);
    const json::value *value = this->currentObject->if_contains({ key.data(), key.size() });
    if (value == nullptr && required) {
        this->report(key, ResultCode::SettingsMissingKey, "expected this key");
    }
    return value;
}

const json::value *SettingsReader::raw(std::string_view key)
{
    return this->find(key, false);
}

std::string SettingsReader::text(
    std::string_view key, const std::optional<std::string> &defaultValue)
{
    const json::value *value = this->find(key, !defaultValue.has_value());
    if (value == nullptr) {
        return defaultValue.value_or(std::string());
    }
    if (const json::string *string = value->if_string()) {
        return std::string(string->data(), string->size());
    }
    this->report(key, ResultCode::SettingsWrongType, "expected a text");
    return {};
}

std::int64_t SettingsReader::number(std::string_view key, std::int64_t minimum,
    std::int64_t maximum, std::optional<std::int64_t> defaultValue)
{
    const json::value *value = this->find(key, !defaultValue.has_value());
    if (value == nullptr) {
        return defaultValue.value_or(minimum);
    }
    const std::string expected
        = rangeText("a whole number", std::to_string(minimum), std::to_string(maximum));
    const std::int64_t *integer = value->if_int64();
    if (integer == nullptr) {
        this->report(key, ResultCode::SettingsWrongType, expected);
        return minimum;
    }
    if (*integer < minimum || *integer > maximum) {
        this->report(key, ResultCode::SettingsOutOfRange, expected);
        return minimum;
    }
    return *integer;
}

double SettingsReader::real(
    std::string_view key, double minimum, double maximum, std::optional<double> defaultValue)
{
    const json::value *value = this->find(key, !defaultValue.has_value());
    if (value == nullptr) {
        return defaultValue.value_or(minimum);
    }
    const std::string expected
        = rangeText("a number", std::to_string(minimum), std::to_string(maximum));
    if (!value->is_number()) {
        this->report(key, ResultCode::SettingsWrongType, expected);
        return minimum;
    }
    const double number = value->to_number<double>();
    if (number < minimum || number > maximum) {
        this->report(key, ResultCode::SettingsOutOfRange, expected);
        return minimum;
    }
    return number;
}

bool SettingsReader::flag(std::string_view key, std::optional<bool> defaultValue)
{
    const json::value *value = this->find(key, !defaultValue.has_value());
    if (value == nullptr) {
        return defaultValue.value_or(false);
    }
    if (const bool *boolean = value->if_bool()) {
        return *boolean;
    }
    this->report(key, ResultCode::SettingsWrongType, "expected true or false");
    return false;
}

std::vector<std::string> SettingsReader::textList(std::string_view key, bool required)
{
    std::vector<std::string> texts;
    const json::value *value = this->find(key, required);
    if (value == nullptr) {
        return texts;
    }
    const json::array *list = value->if_array();
    if (list == nullptr) {
        this->report(key, ResultCode::SettingsWrongType, "expected a list of texts");
        return texts;
    }
    for (const json::value &element : *list) {
        if (const json::string *string = element.if_string()) {
            texts.emplace_back(string->data(), string->size());
        } else {
            this->report(key, ResultCode::SettingsWrongType, "expected a list of texts");
        }
    }
    return texts;
}

SettingsReader SettingsReader::object(std::string_view key, bool required)
{
    const json::value *value = this->find(key, required);
    const json::object *child = value == nullptr ? nullptr : value->if_object();
    if (value != nullptr && child == nullptr) {
        this->report(key, ResultCode::SettingsWrongType, "expected an object");
    }
    return { *this->document, *this->problems, child, this->pathOf(key) };
}

std::vector<SettingsReader> SettingsReader::objectList(std::string_view key, bool required)
{
    std::vector<SettingsReader> readers;
    const json::value *value = this->find(key, required);
    if (value == nullptr) {
        return readers;
    }
    const json::array *list = value->if_array();
    if (list == nullptr) {
        this->report(key, ResultCode::SettingsWrongType, "expected a list of objects");
        return readers;
    }
    for (std::size_t i = 0; i < list->size(); ++i) {
        const std::string elementPath = this->pathOf(key) + "." + std::to_string(i);
        if ((*list)[i].is_object()) {
            readers.push_back(SettingsReader(
                *this->document, *this->problems, &(*list)[i].get_object(), elementPath));
        } else {
            this->report(key, ResultCode::SettingsWrongType, "expected a list of objects");
        }
    }
    return readers;
}

std::vector<std::pair<std::string, SettingsReader>> SettingsReader::members()
{
    std::vector<std::pair<std::string, SettingsReader>> readers;
    for (const auto &member : *this->currentObject) {
        const std::string key(member.key().data(), member.key().size());
        readers.emplace_back(key, this->object(key));
    }
    return readers;
}

void SettingsReader::finish()
{
    for (const auto &member : *this->currentObject) {
        const std::string key(member.key().data(), member.key().size());
        if (std::find(this->knownKeys.begin(), this->knownKeys.end(), key)
            == this->knownKeys.end()) {
            this->report(key, ResultCode::SettingsUnknownKey, "expected no such key here");
        }
    }
}

} // namespace wigeonsill
