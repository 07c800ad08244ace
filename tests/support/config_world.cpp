#include "config_world.hpp"

#include <algorithm>

namespace masticcourse::tests
{

namespace
{

constexpr std::size_t followers = 4;
constexpr std::size_t most_patches = 3;
constexpr config_tracker_options tracker_options{.poll_period = std::chrono::seconds{2},
                                                 .peer_timeout = std::chrono::milliseconds{200}};

} // namespace

config_world::config_world(standins::faulty_store& store, core_time& now, state_oracle& oracle,
                           std::uint64_t seed)
    : m_store(&store), m_now(&now), m_oracle(&oracle), m_random(seed), m_followers(followers)
{
    m_documents[0] = "{}";
    std::ranges::for_each(m_followers, [this](follower& it) { it.tracker = new_tracker(); });
}

void config_world::step(bool disturbed)
{
    gossip();
    if (disturbed && random(10) == 0)
    {
        begin_patch();
    }
    if (disturbed && random(20) == 0)
    {
        // A restart: nothing is remembered.
        m_followers[random(followers)] = {.tracker = new_tracker()};
    }
    std::ranges::for_each(m_followers, [this](follower& it) { check_follower(it); });
}

void config_world::tick()
{
    for (const auto& it : m_followers)
    {
        pump_machine(it.tracker);
    }
    for (const auto& it : m_patches)
    {
        pump_machine(it.patch);
    }
    finish_patches();
}

template <typename Machine>
void config_world::pump_machine(const std::shared_ptr<Machine>& machine)
{
    if (auto op = machine->poll(*m_now))
    {
        const auto on_answer = [this, machine](const store_reply& reply)
        { machine->on_reply(reply, *m_now); };
        m_store->send(std::move(*op), on_answer);
    }
}

void config_world::begin_patch()
{
    if (m_patches.size() >= most_patches)
    {
        return;
    }
    // Operators name the version that some process showed them, which may be old.
    const config_version base = m_followers[random(followers)].tracker->version();
    const std::string id = "patch-" + std::to_string(++m_ids);
    const auto patched = [id](const std::string&) { return std::optional(R"({"by":")" + id + R"("})"); };
    m_patches.push_back({.patch = std::make_shared<config_patch>(base, id, patched, retry_options{}),
                         .id = id,
                         .base = base});
}

void config_world::gossip()
{
    auto& from = *m_followers[random(followers)].tracker;
    auto& to = *m_followers[random(followers)].tracker;
    if (!from.ready())
    {
        return;
    }
    to.on_named({"peer"}, from.version(), *m_now);
    const auto fetch = to.poll_peers(*m_now);
    const bool silent = random(4) == 0;
    if (!fetch || silent)
    {
        return;
    }
    if (const auto reply = from.answer(fetch->request))
    {
        to.on_peer_reply(*reply, *m_now);
    }
}

void config_world::finish_patches()
{
    for (const auto& it : m_patches)
    {
        const patch_state state = it.patch->state();
        m_oracle->check(state != patch_state::damaged_row, "the configuration's row is damaged");
        if (state == patch_state::accepted)
        {
            m_oracle->check(m_accepted.contains(it.id) && m_accepted.at(it.id) == it.base + 1,
                            "a patch reported as accepted was not: " + it.id);
        }
        if (state == patch_state::conflict)
        {
            m_oracle->check(!m_accepted.contains(it.id),
                            "an accepted patch was reported as conflict: " + it.id);
            m_denied.insert(it.id);
        }
    }
    std::erase_if(m_patches, [](const auto& it) { return it.patch->state() != patch_state::pending; });
}

void config_world::observe(const store_op& op, const store_reply& reply)
{
    const auto* const put = std::get_if<table_put>(&op);
    if (put == nullptr || put->key != config_key || reply.status != store_status::ok)
    {
        return;
    }
    const auto row = decode_config_row(put->value);
    m_oracle->check(row && row->version == m_documents.rbegin()->first + 1,
                    "a version was left out or taken twice");
    m_documents[row->version] = row->document;
    const std::string id = row->patches.back().id;
    m_oracle->check(m_accepted.emplace(id, row->version).second, "a patch was accepted twice: " + id);
    m_oracle->check(!m_denied.contains(id), "a patch reported as conflict was accepted later: " + id);
}

void config_world::check_follower(follower& it)
{
    const config_tracker& tracker = *it.tracker;
    m_oracle->check(tracker.contradictions() == 0, "one version with two documents");
    m_oracle->check(tracker.version() >= it.served, "a process went back to an older version");
    it.served = tracker.version();
    const auto known = m_documents.find(it.served);
    m_oracle->check(known != m_documents.end() && known->second == tracker.document(),
                    "a process holds a document that was never in force");
}

void config_world::check_converged()
{
    for (auto& it : m_followers)
    {
        check_follower(it);
        m_oracle->check(it.tracker->ready() && it.tracker->version() == m_documents.rbegin()->first,
                        "a process does not come to the version in force");
    }
    m_oracle->check(m_patches.empty(), "a patch never ends");
}

std::uint64_t config_world::accepted() const
{
    return m_accepted.size();
}

std::uint64_t config_world::random(std::uint64_t below)
{
    return m_random() % below;
}

std::shared_ptr<config_tracker> config_world::new_tracker()
{
    return std::make_shared<config_tracker>(tracker_options, m_random());
}

} // namespace masticcourse::tests
