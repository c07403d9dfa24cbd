#ifndef MEDLAR_DETAIL_DISPATCH_ATTEMPT_LIMIT_HPP
#define MEDLAR_DETAIL_DISPATCH_ATTEMPT_LIMIT_HPP

namespace medlar
{

/// @brief Counts the targets that one attempt of a caller is sent to, at this host and at
/// other hosts that run it in its place, so that they are no more than its route permits.
///
/// A host that has another one run the request lends it sends; how many of them that host
/// has used is not known if it breaks off.
class attempt_limit
{
  public:
    /// @param max_sends sends permitted in total, at least 1
    static attempt_limit create(int max_sends);

    /// @brief Returns the sends of this host so far.
    int sends() const
    {
        return sends_;
    }

    bool is_used_up() const
    {
        return sends_ + sends_elsewhere_ >= max_sends_;
    }

    /// @brief Counts a send to a target.
    void record_send();

    /// @brief Takes back the last send: nothing of it has reached the target.
    void record_unsent();

    /// @brief Lends another host what is left.
    /// @param may_repeat whether the request may run once more if that host breaks off:
    /// one send is kept back for this, if that host can still retry once
    /// @return how many targets the other host may send the request to
    int lend(bool may_repeat);

    /// @brief Takes back what was lent: the other host has sent the request to no target.
    void return_lent();

  private:
    explicit attempt_limit(int max_sends);

    int max_sends_;
    int sends_ = 0;
    int sends_elsewhere_ = 0;
    int lent_ = 0;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_ATTEMPT_LIMIT_HPP
