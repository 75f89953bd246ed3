/// \file jsondocument.cpp
/// Parser for JSON with comments that records the line of each key.
#include "wigeonsill/config.h"

#include <boost/json/basic_parser_impl.hpp>

#include <fstream>
#include <sstream>

namespace wigeonsill {

namespace {

namespace json = boost::json;

json::parse_options lenientJsonOptions()
{
    json::parse_options options;
    options.allow_comments = true;
    options.allow_trailing_commas = true;
    return options;
}

/// Parser handler that records the line of each key and array element.
/// scanLines() sets currentLine before it passes a line of text to the parser.
struct LineRecorder
{
    // Names required by boost::json::basic_parser.
    // NOLINTBEGIN(readability-identifier-naming)
    static constexpr std::size_t max_array_size = static_cast<std::size_t>(-1);
    static constexpr std::size_t max_object_size = static_cast<std::size_t>(-1);
    static constexpr std::size_t max_string_size = static_cast<std::size_t>(-1);
    static constexpr std::size_t max_key_size = static_cast<std::size_t>(-1);
    // NOLINTEND(readability-identifier-naming)

    struct Level
    {
        bool isArray = false;
        std::size_t index = 0;
        std::string key;
    };

    int currentLine = 1;
    std::vector<Level> levels;
    std::string partialKey;
    std::map<std::string, int> lineByPath;

    std::string path() const
    {
        std::string text;
        for (const Level &level : this->levels) {
            const std::string part = level.isArray ? std::to_string(level.index) : level.key;
            text += text.empty() ? part : "." + part;
        }
        return text;
    }

    void beginValue()
    {
        if (!this->levels.empty() && this->levels.back().isArray) {
            this->lineByPath.emplace(this->path(), this->currentLine);
        }
    }

    void endValue()
    {
        if (!this->levels.empty() && this->levels.back().isArray) {
            ++this->levels.back().index;
        }
    }

    bool scalar()
    {
        this->beginValue();
        this->endValue();
        return true;
    }

    bool openContainer(bool isArray)
    {
        this->beginValue();
        this->levels.push_back({ isArray, 0, {} });
        return true;
    }

    bool closeContainer()
    {
        this->levels.pop_back();
        this->endValue();
        return true;
    }

    // Callbacks required by boost::json::basic_parser.
    // NOLINTBEGIN(readability-identifier-naming)
    bool on_document_begin(json::error_code &) { return true; }
    bool on_document_end(json::error_code &) { return true; }
    bool on_object_begin(json::error_code &) { return this->openContainer(false); }
    bool on_object_end(std::size_t, json::error_code &) { return this->closeContainer(); }
    bool on_array_begin(json::error_code &) { return this->openContainer(true); }
    bool on_array_end(std::size_t, json::error_code &) { return this->closeContainer(); }
    bool on_key_part(json::string_view part, std::size_t, json::error_code &)
    {
        this->partialKey.append(part.data(), part.size());
        return true;
    }
    bool on_key(json::string_view part, std::size_t, json::error_code &)
    {
        this->partialKey.append(part.data(), part.size());
        this->levels.back().key = std::move(this->partialKey);
        this->partialKey.clear();
        this->lineByPath.emplace(this->path(), this->currentLine);
        return true;
    }
    bool on_string_part(json::string_view, std::size_t, json::error_code &) { return true; }
    bool on_string(json::string_view, std::size_t, json::error_code &) { return this->scalar(); }
    bool on_number_part(json::string_view, json::error_code &) { return true; }
    bool on_int64(std::int64_t, json::string_view, json::error_code &) { return this->scalar(); }
    bool on_uint64(std::uint64_t, json::string_view, json::error_code &) { return this->scalar(); }
    bool on_double(double, json::string_view, json::error_code &) { return this->scalar(); }
    bool on_bool(bool, json::error_code &) { return this->scalar(); }
    bool on_null(json::error_code &) { return this->scalar(); }
    bool on_comment_part(json::string_view, json::error_code &) { return true; }
    bool on_comment(json::string_view, json::error_code &) { return true; }
    // NOLINTEND(readability-identifier-naming)
};

/// Line of each key by its dotted path, or the error and its line.
struct LineScan
{
    json::error_code error;
    int line = 1;
    std::map<std::string, int> lineByPath;
};

LineScan scanLines(std::string_view text)
{
    json::basic_parser<LineRecorder> parser(lenientJsonOptions());
    LineScan scan;
    std::size_t start = 0;
    while (start < text.size() && !scan.error) {
        const std::size_t newline = text.find('\n', start);
        const std::size_t end = newline == std::string_view::npos ? text.size() : newline + 1;
        parser.handler().currentLine = scan.line;
        parser.write_some(true, text.data() + start, end - start, scan.error);
        if (!scan.error) {
            ++scan.line;
        }
        start = end;
    }
    if (!scan.error) {
        parser.write_some(false, text.data(), 0, scan.error);
    }
    scan.lineByPath = std::move(parser.handler().lineByPath);
    return scan;
}

} // namespace

Result<JsonDocument> JsonDocument::parse(std::string_view text, std::string file)
{
    LineScan scan = scanLines(text);
    if (scan.error) {
        return Error{ ResultCode::SettingsSyntax,
            file + ":" + std::to_string(scan.line) + ": " + scan.error.message() };
    }
    json::error_code error;
    JsonDocument document;
    document.root = json::parse({ text.data(), text.size() }, error, {}, lenientJsonOptions());
    if (error) {
        return Error{ ResultCode::SettingsSyntax, file + ": " + error.message() };
    }
    document.lineByPath = std::move(scan.lineByPath);
    document.fileName = std::move(file);
    return document;
}

Result<JsonDocument> JsonDocument::load(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    std::ostringstream text;
    if (!stream || !(text << stream.rdbuf())) {
        return Error{ ResultCode::SettingsUnreadable,
            path + ": the file cannot be read or is empty" };
    }
    return parse(text.str(), path);
}

JsonDocument JsonDocument::fromValue(json::value value, std::string file)
{
    JsonDocument document;
    document.root = std::move(value);
    document.fileName = std::move(file);
    return document;
}

int JsonDocument::lineOf(const std::string &path) const
{
    const auto found = this->lineByPath.find(path);
    return found == this->lineByPath.end() ? 0 : found->second;
}

} // namespace wigeonsill
