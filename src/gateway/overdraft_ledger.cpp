#include "masticcourse/gateway/overdraft_ledger.hpp"

#include <algorithm>
#include <numeric>
#include <xxhash.h>

namespace masticcourse::gateway
{

namespace
{

/// Maximum number of programs with outstanding tokens, about a hundred bytes each. Further programs get no
/// overdraft.
constexpr std::size_t max_programs = 20'000;

} // namespace

std::size_t overdraft_bucket_of(std::string_view program)
{
    // The seed makes buckets independent of the store's partitions, which hash the same ids.
    constexpr std::uint64_t seed = 0x0d;
    return XXH3_64bits_withSeed(program.data(), program.size(), seed) % overdraft_bucket_count;
}

token_count overdraft_ledger::program_account::outstanding_excluding(const request_id& request) const
{
    return std::accumulate(outstanding.begin(), outstanding.end(), token_count{0},
                           [&](token_count sum, const auto& it)
                           { return it.first == request ? sum : sum + it.second; });
}

token_count overdraft_ledger::program_account::total_outstanding() const
{
    return std::accumulate(outstanding.begin(), outstanding.end(), token_count{0},
                           [](token_count sum, const auto& it) { return sum + it.second; });
}

overdraft_state overdraft_ledger::find(const program_id& program) const
{
    const auto it = m_programs.find(program);
    return it != m_programs.end()
               ? overdraft_state{.outstanding = it->second.total_outstanding(), .limit = it->second.limit}
               : overdraft_state{};
}

token_count overdraft_ledger::outstanding() const
{
    return std::accumulate(m_programs.begin(), m_programs.end(), token_count{0},
                           [](token_count sum, const auto& it)
                           { return sum + it.second.total_outstanding(); });
}

token_count overdraft_ledger::draw(const program_id& program, const request_id& request,
                                   token_count max_tokens, time_point now)
{
    if (max_tokens <= 0 || (m_programs.size() >= max_programs && !m_programs.contains(program)))
    {
        return 0;
    }
    auto& account = m_programs[program];
    account.last_used = now;
    account.limit = account.limit == 0 ? max_tokens : std::min(account.limit, max_tokens);
    const auto granted = std::max(token_count{0}, account.limit - account.outstanding_excluding(request));
    if (granted > 0)
    {
        account.outstanding[request] = granted;
    }
    return granted;
}

void overdraft_ledger::settle(const program_id& program, const request_id& request, token_count used_tokens)
{
    const auto it = m_programs.find(program);
    if (it == m_programs.end())
    {
        return;
    }
    const auto entry = it->second.outstanding.find(request);
    if (entry == it->second.outstanding.end())
    {
        return;
    }
    if (used_tokens <= 0)
    {
        clear(program, request);
        return;
    }
    // No more than the grant is delivered. A larger count includes events that were held back.
    entry->second = std::min(entry->second, used_tokens);
}

void overdraft_ledger::clear(const program_id& program, const request_id& request)
{
    const auto it = m_programs.find(program);
    if (it == m_programs.end())
    {
        return;
    }
    it->second.outstanding.erase(request);
    if (it->second.outstanding.empty())
    {
        m_programs.erase(it);
    }
}

bool overdraft_ledger::empty(std::size_t bucket) const
{
    return std::ranges::none_of(m_programs, [bucket](const auto& it)
                                { return overdraft_bucket_of(it.first.value) == bucket; });
}

void overdraft_ledger::evict_idle(time_point now)
{
    std::erase_if(m_programs,
                  [now](const auto& it) { return now - it.second.last_used >= max_program_idle_time; });
}

} // namespace masticcourse::gateway
