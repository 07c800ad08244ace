// Pages that come from tables in the code say what the tables say.
#include "masticcourse/core/problem.hpp"
#include "masticcourse/settings/config_document.hpp"
#include "masticcourse/settings/settings.hpp"
#include "masticcourse/telemetry/event.hpp"

#include <doctest/doctest.h>

#include <cctype>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

using namespace masticcourse;

namespace
{

std::string read_page(const std::string& path)
{
    std::ifstream file{std::string{MASTICCOURSE_SOURCE_DIR} + "/docs/" + path};
    REQUIRE(file);
    return {std::istreambuf_iterator<char>{file}, {}};
}

std::string read_sources(const std::string& folder)
{
    std::string sources;
    const std::string root{MASTICCOURSE_SOURCE_DIR};
    for (const auto& it : std::filesystem::recursive_directory_iterator(root + folder))
    {
        if (it.is_regular_file())
        {
            std::ifstream file{it.path(), std::ios::binary};
            sources.append(std::istreambuf_iterator<char>{file}, {});
        }
    }
    return sources;
}

/// Whether @a word stands in @a text, and not only as the beginning of a longer name.
bool has_word(const std::string& text, const std::string& word)
{
    const auto continues = [&](std::size_t end)
    {
        return end < text.size() &&
               (std::isalnum(static_cast<unsigned char>(text[end])) != 0 || text[end] == '_');
    };
    auto at = text.find(word);
    while (at != std::string::npos && continues(at + word.size()))
    {
        at = text.find(word, at + 1);
    }
    return at != std::string::npos;
}

} // namespace

TEST_CASE("docs/operators/settings.md is the table of keys")
{
    CHECK(read_page("operators/settings.md") == settings_reference());
}

TEST_CASE("docs/operators/configuration.md has the table of members")
{
    CHECK(read_page("operators/configuration.md").find("\n" + config_reference() + "\n") !=
          std::string::npos);
}

TEST_CASE("docs/EVENTS.md is the catalogue")
{
    CHECK(read_page("EVENTS.md") == event_reference());
}

TEST_CASE("every event of the catalogue is recorded somewhere")
{
    // The adapter to the users' platform holds the gateway's main, which records events of its own.
    const auto sources = read_sources("/src") + read_sources("/platform");
    for (const auto& it : event_catalogue)
    {
        CAPTURE(it.name);
        CHECK(has_word(sources, "event_id::" + std::string{it.name}));
    }
}

TEST_CASE("docs/PROBLEMS.md has a row for each problem, and no others")
{
    const auto page = read_page("PROBLEMS.md");
    constexpr int last_id = 599;
    std::ptrdiff_t listed = 0;
    for (int number = 1; number <= last_id; ++number)
    {
        const auto id = static_cast<problem_id>(number);
        if (title_of(id) == title_of(problem_id::none))
        {
            continue;
        }
        ++listed;
        const auto row = "| " + std::to_string(number) + " | " + std::string{title_of(id)} + " | " +
                         std::to_string(http_status(id)) + " | ";
        CAPTURE(row);
        CHECK(page.find(row) != std::string::npos);
    }
    std::ptrdiff_t rows = 0;
    for (auto at = page.find("\n| "); at != std::string::npos; at = page.find("\n| ", at + 1))
    {
        rows += std::isdigit(static_cast<unsigned char>(page.at(at + 3))) != 0 ? 1 : 0;
    }
    CHECK(rows == listed);
}
