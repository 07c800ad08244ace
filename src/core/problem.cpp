#include "masticcourse/core/problem.hpp"

#include <algorithm>
#include <array>

namespace masticcourse
{

namespace
{

struct problem_row
{
    problem_id id;
    int status;
    std::string_view title;
};

constexpr std::array problem_table{
    problem_row{problem_id::none, 200, "no problem"},
    problem_row{problem_id::malformed_request, 400, "malformed request"},
    problem_row{problem_id::body_too_large, 413, "body too large"},
    problem_row{problem_id::wrong_method, 405, "method not allowed"},
    problem_row{problem_id::unknown_path, 404, "unknown path"},
    problem_row{problem_id::unauthorized, 401, "unauthorized"},
    problem_row{problem_id::invalid_field, 422, "invalid field"},
    problem_row{problem_id::key_reused, 422, "idempotency key used with another body"},
    problem_row{problem_id::unknown_program, 404, "unknown program"},
    problem_row{problem_id::unknown_call, 404, "unknown call"},
    problem_row{problem_id::program_ended, 410, "program ended"},
    problem_row{problem_id::turn_out_of_order, 409, "a call of this program is in progress"},
    problem_row{problem_id::budget_exceeded, 402, "budget exceeded"},
    problem_row{problem_id::turn_limit, 409, "turn limit reached"},
    problem_row{problem_id::repeated_call, 409, "the same call repeats without end"},
    problem_row{problem_id::history_not_recovered, 503, "history not yet recovered"},
    problem_row{problem_id::unknown_service, 422, "unknown service"},
    problem_row{problem_id::no_target, 503, "no target available"},
    problem_row{problem_id::target_refused, 503, "target refused"},
    problem_row{problem_id::target_failed, 502, "target failed"},
    problem_row{problem_id::deadline_passed, 504, "deadline passed"},
    problem_row{problem_id::outcome_unknown, 502, "outcome unknown"},
    problem_row{problem_id::cancelled, 409, "call cancelled"},
    problem_row{problem_id::overloaded, 503, "overloaded"},
    problem_row{problem_id::no_home, 503, "no home for this program"},
    problem_row{problem_id::store_unavailable, 503, "store unavailable"},
    problem_row{problem_id::isolated, 503, "entry isolated"},
    problem_row{problem_id::stopping, 503, "entry stopping"},
    problem_row{problem_id::lost_home, 503, "home lost"},
    problem_row{problem_id::version_conflict, 412, "configuration version conflict"},
    problem_row{problem_id::invalid_patch, 422, "invalid configuration patch"},
};

const problem_row& row_of(problem_id id)
{
    const auto* const it = std::ranges::find(problem_table, id, &problem_row::id);
    return it != problem_table.end() ? *it : problem_table.front();
}

} // namespace

std::string_view to_string(ran_state state)
{
    constexpr std::array<std::string_view, 3> names{"no", "yes", "unknown"};
    return names.at(static_cast<std::size_t>(state));
}

int http_status(problem_id id)
{
    return row_of(id).status;
}

std::string_view title_of(problem_id id)
{
    return row_of(id).title;
}

} // namespace masticcourse
