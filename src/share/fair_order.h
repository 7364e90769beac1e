#pragma once

#include <cstddef>
#include <set>
#include <utility>
#include <vector>

namespace teaselward
{

/**
 * Start-time fair queueing among members with weights. A member's tag is the virtual time at which its next task is due;
 * the member with the lowest tag is served first. Work is measured in seconds of a slot.
 */
class fair_order
{
public:
    /** Tag and number of a member that has work. */
    using item = std::pair<double, std::size_t>;

    /**
     * Creates an order without members.
     * @param allowance weighted work that a member may catch up for after a time without work
     */
    explicit fair_order(double allowance = 0);

    /**
     * Adds a member without work.
     * @param weight share relative to the others, above zero
     * @return its number
     */
    std::size_t add(double weight);

    /**
     * Removes a member without work; its number is used again.
     * @param member its number
     */
    void remove(std::size_t member);

    /** Changes the weight of a member. */
    void setWeight(std::size_t member, double weight);

    /** @return weight of a member */
    double weight(std::size_t member) const;

    /**
     * Sets whether a member has work. A member that had none for a while returns at the present virtual time, less its
     * allowance, so that it does not catch up for the time without work beyond that.
     */
    void setActive(std::size_t member, bool active);

    /**
     * Charges a member for a task that starts.
     * @param member its number
     * @param work expected work of the task
     */
    void charge(std::size_t member, double work);

    /**
     * Corrects the charge of a member.
     * @param member its number
     * @param work actual work less the work charged
     */
    void correct(std::size_t member, double work);

    /** @return members that have work, the one to be served first at the front */
    const std::set<item> &active() const
    {
        return m_active;
    }

private:
    /** State of one member. */
    struct state {
        double weight = 1;
        double tag = 0;
        bool active = false;
    };

    void move(std::size_t member, double tag);

    std::vector<state> m_members;
    std::vector<std::size_t> m_unused;
    std::set<item> m_active;
    double m_allowance;
    double m_virtualTime = 0; ///< Tag of the latest task that started.
};

} // namespace teaselward
