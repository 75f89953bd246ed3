/// \file resultcode_test.cpp
/// Checks the table of result codes and its copy on the documentation page.
#include "wigeonsill/util.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>

namespace wigeonsill {
namespace {

std::string expectedPageRow(const ResultInfo &info)
{
    std::string row = "| " + std::to_string(static_cast<int>(info.code));
    row += " | " + std::string(info.name);
    row += " | " + std::to_string(info.httpStatus);
    row += " | " + std::string(outcomeName(info.outcome));
    return row + " | " + std::string(info.text) + " |";
}

/// Reads the rows of docs/ERRORS.md that begin with a number.
std::vector<std::string> readPageRows()
{
    std::ifstream page(std::string(WIGEONSILL_SOURCE_DIR) + "/docs/ERRORS.md");
    std::vector<std::string> rows;
    for (std::string line; std::getline(page, line);) {
        if (line.size() > 2 && line.starts_with("| ") && std::isdigit(line[2]) != 0) {
            rows.push_back(line);
        }
    }
    return rows;
}

TEST(ResultTable, documentationPageMatchesTable)
{
    std::vector<std::string> expected;
    for (const ResultInfo &info : resultTable()) {
        expected.push_back(expectedPageRow(info));
    }
    EXPECT_EQ(readPageRows(), expected);
}

TEST(ResultTable, codesAreSortedAndFound)
{
    const auto table = resultTable();
    EXPECT_TRUE(std::is_sorted(
        table.begin(), table.end(), [](const auto &a, const auto &b) { return a.code < b.code; }));
    for (const ResultInfo &info : table) {
        EXPECT_EQ(resultInfo(info.code).name, info.name);
    }
}

TEST(ResultTable, outcomesMatchCodeRanges)
{
    for (const ResultInfo &info : resultTable()) {
        const int range = static_cast<int>(info.code) / 1000;
        if (range == 1 || range == 2) {
            EXPECT_EQ(info.outcome, Outcome::NotRun) << info.name;
        } else if (range == 3) {
            EXPECT_EQ(info.outcome, Outcome::Interrupted) << info.name;
        } else if (range == 4) {
            EXPECT_EQ(info.outcome, Outcome::Unknown) << info.name;
        }
    }
}

} // namespace
} // namespace wigeonsill
