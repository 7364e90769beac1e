#pragma once

#include <cstddef>
#include <set>
#include <utility>
#include <vector>

namespace teaselward
{

/**
 * Start-time fair queueing among weighted members. The tag of a member is the virtual time at which its next task is due; the
 * member with the lowest tag is served first. Work is measured in slot seconds.
 */
class fair_order
{
public:
    /** Tag and index of a member that has work. */
    using item = std::pair<double, std::size_t>;

    /**
     * Creates an order without members.
     * @param allowance weighted work that a member may catch up on after a time without work
     */
    explicit fair_order(double allowance = 0);

    /**
     * Adds a member without work.
     * @param weight share relative to the other members; above zero
     * @return its index
     */
    std::size_t add(double weight);

    /**
     * Removes a member without work; its index is reused.
     * @param member its index
     */
    void remove(std::size_t member);

    /** Changes the weight of a member. */
    void setWeight(std::size_t member, double weight);

    /** @return weight of a member */
    double weight(std::size_t member) const;

    /**
     * Sets whether a member has work. A member that had none for a while resumes at the current virtual time minus the
     * allowance, so that it cannot catch up on more than that.
     */
    void setActive(std::size_t member, bool active);

    /**
     * Charges a member for a task that is started.
     * @param member its index
     * @param work expected work of the task in slot seconds
     */
    void charge(std::size_t member, double work);

    /**
     * Corrects the charge of a member.
     * @param member its index
     * @param work actual work minus the work charged, in slot seconds
     */
    void correct(std::size_t member, double work);

    /** @return members that have work, the next one to be served first */
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
    std::vector<std::size_t> m_freeIndexes;
    std::set<item> m_active;
    double m_allowance;
    double m_virtualTime = 0; ///< Tag of the member served last.
};

} // namespace teaselward
