#pragma once

#include <absl/container/flat_hash_map.h>
#include <kj/async.h>

#include <cstdint>
#include <memory>
#include <utility>

namespace teaselward
{

/** Calls that wait for an answer of the decision thread. */
template<typename T>
class pending_table
{
public:
    /** Number of a call with the promise of its answer. */
    struct call {
        std::uint64_t number;
        kj::Promise<T> answer;
    };

    /**
     * Adds a call. Its promise shares the state of the table, because it can outlive the table: the library destroys the promises
     * of cancelled calls only with its event loop.
     * @return a new call; it is removed when its promise is resolved or destroyed
     */
    call add()
    {
        auto pair = kj::newPromiseAndFulfiller<T>();
        const std::uint64_t number = ++m_lastNumber;
        m_calls->emplace(number, std::move(pair.fulfiller));
        return {number, pair.promise.attach(kj::defer([calls = m_calls, number] {
                    calls->erase(number);
                }))};
    }

    /**
     * Answers a call.
     * @param number number of the call; the answer is dropped if the call's connection is lost
     * @param answer the answer
     */
    void resolve(std::uint64_t number, T &&answer)
    {
        const auto found = m_calls->find(number);
        if (found != m_calls->end()) {
            found->second->fulfill(std::move(answer));
        }
    }

    /** @return number of calls that wait for an answer */
    std::size_t size() const
    {
        return m_calls->size();
    }

private:
    using calls = absl::flat_hash_map<std::uint64_t, kj::Own<kj::PromiseFulfiller<T>>>;

    std::uint64_t m_lastNumber = 0;
    std::shared_ptr<calls> m_calls = std::make_shared<calls>();
};

} // namespace teaselward
