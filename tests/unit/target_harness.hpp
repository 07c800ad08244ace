/// @file
/// Drives a target core in virtual time and collects what it does.
#pragma once

#include "masticcourse/control/target_core.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace masticcourse::testing
{

/// A dispatch of an idempotent model call; tests change what they are about.
inline dispatch_call make_dispatch(const std::string& key, epoch_number epoch = 1,
                                   const std::string& program = "p")
{
    dispatch_call order{.call = {.program = {program}, .key = {key}}, .shard = 7, .epoch = epoch};
    order.request = {.key = {key}, .service = {"agent-llm"}, .input = "input of " + key, .max_tokens = 8};
    return order;
}

inline call_outcome make_outcome(const std::string& text)
{
    return {.output = text, .usage = {.prompt = 100, .cached = 40, .completion = 20}};
}

/// A core, its clock, and its outputs since the last look.
class target_harness
{
  public:
    explicit target_harness(target_options options) : m_core(std::move(options)) {}

    static target_options options()
    {
        target_options given{.name = {"target-1"}, .incarnation = {"target-1/a"}, .address = "127.0.0.1:1"};
        given.service = {"agent-llm"};
        given.domain = {"kenitra"};
        given.max_running = 2;
        given.cache_capacity = 10'000;
        return given;
    }

    void give(target_input input)
    {
        give_all({std::move(input)});
    }

    void give_all(const std::vector<target_input>& inputs)
    {
        auto out = m_core.step(inputs, m_now);
        std::ranges::move(out, std::back_inserter(m_out));
    }

    void receive(link_id link, peer_message message)
    {
        give(peer_received{.link = link, .message = std::move(message)});
    }

    /// Opens a link and introduces its other end.
    void connect(link_id link, const std::string& incarnation = "entry-1/a")
    {
        give(peer_opened{link});
        receive(link,
                peer_hello{.role = process_role::entry, .name = {"entry-1"}, .incarnation = {incarnation}});
        m_alive.push_back(link);
    }

    /// From here on the link's other end says nothing.
    void fall_silent(link_id link)
    {
        std::erase(m_alive, link);
    }

    /// Lets time pass; live peers send their heartbeats meanwhile.
    void pass(core_duration time)
    {
        const core_time end = m_now + time;
        while (m_now < end)
        {
            m_now = std::min(end, m_core.next_wakeup());
            std::vector<target_input> inputs;
            inputs.reserve(m_alive.size());
            for (const link_id link : m_alive)
            {
                inputs.emplace_back(peer_received{.link = link, .message = peer_heartbeat{}});
            }
            give_all(inputs);
        }
    }

    /// @return the outputs of one kind since the last `clear`
    template <typename Output>
    [[nodiscard]] std::vector<Output> outputs() const
    {
        std::vector<Output> found;
        for (const auto& it : m_out)
        {
            if (const auto* output = std::get_if<Output>(&it))
            {
                found.push_back(*output);
            }
        }
        return found;
    }

    /// @return the messages of one kind sent on a link since the last `clear`
    template <typename Message>
    [[nodiscard]] std::vector<Message> sent(link_id link) const
    {
        std::vector<Message> found;
        for (const auto& it : outputs<send_peer>())
        {
            const auto* message = std::get_if<Message>(&it.message);
            if (message != nullptr && it.link == link)
            {
                found.push_back(*message);
            }
        }
        return found;
    }

    [[nodiscard]] std::vector<std::string> started() const
    {
        std::vector<std::string> keys;
        for (const auto& it : outputs<engine_start>())
        {
            keys.push_back(it.call.key.value);
        }
        return keys;
    }

    void clear()
    {
        m_out.clear();
    }

    target_core& core()
    {
        return m_core;
    }

  private:
    target_core m_core;
    core_time m_now{std::chrono::seconds{100}};
    std::vector<target_output> m_out;
    std::vector<link_id> m_alive;
};

} // namespace masticcourse::testing
