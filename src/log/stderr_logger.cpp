#include "log/stderr_logger.h"

#include "log/counting_overflow.h"
#include "log/fd_stream_buffer.h"

#include <boost/core/null_deleter.hpp>
#include <boost/date_time/posix_time/posix_time_types.hpp>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>
#include <unistd.h>

#include <array>
#include <ostream>

namespace teaselward
{

namespace
{

namespace expr = boost::log::expressions;

constexpr std::size_t QueueCapacity = 4096;

// Indexed by log_part.
constexpr std::array<std::string_view, 11> Prefixes = {"route", "place", "admit", "job", "agent", "member", "config", "platform", "rpc", "http", "process"};

using backend = boost::log::sinks::text_ostream_backend;
using queue = boost::log::sinks::bounded_fifo_queue<QueueCapacity, detail::counting_overflow>;
using sink = boost::log::sinks::asynchronous_sink<backend, queue>;

} // namespace

namespace detail
{

class stderr_logger_private
{
public:
    bool enabled = false;
    fd_stream_buffer buffer{STDERR_FILENO};
    std::ostream stream{&buffer};
    boost::shared_ptr<sink> output;
    boost::log::sources::logger_mt source;
};

} // namespace detail

stderr_logger::stderr_logger(const std::string &role, bool enabled)
    : d(std::make_unique<detail::stderr_logger_private>())
{
    d->enabled = enabled;
    if (!enabled) {
        return;
    }
    auto stream = boost::make_shared<backend>();
    stream->add_stream(boost::shared_ptr<std::ostream>(&d->stream, boost::null_deleter()));
    stream->auto_flush(true);
    d->output = boost::make_shared<sink>(stream);
    d->output->set_formatter(expr::stream << expr::format_date_time<boost::posix_time::ptime>("TimeStamp", "%Y-%m-%dT%H:%M:%S.%fZ") << ' '
                                          << expr::attr<std::string>("Role") << ' ' << expr::smessage);
    d->source.add_attribute("TimeStamp", boost::log::attributes::utc_clock());
    d->source.add_attribute("Role", boost::log::attributes::constant<std::string>(role));
    boost::log::core::get()->add_sink(d->output);
}

stderr_logger::~stderr_logger()
{
    if (d->output) {
        boost::log::core::get()->remove_sink(d->output);
        d->output->stop();
        d->output->flush();
    }
}

bool stderr_logger::isEnabled() const
{
    return d->enabled;
}

void stderr_logger::write(log_part part, std::string_view line)
{
    if (!d->enabled) {
        return;
    }
    BOOST_LOG(d->source) << Prefixes.at(static_cast<std::size_t>(part)) << ": " << line;
}

std::uint64_t stderr_logger::dropped()
{
    return detail::counting_overflow::count();
}

} // namespace teaselward
