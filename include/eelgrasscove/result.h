#pragma once

/// Results that hold either a value or the layer's own error.

#include <utility>
#include <variant>

namespace eelgrasscove {

/// Either a T (success) or an E (the error of the layer that returns it).
template <class T, class E>
using Result = std::variant<T, E>;

/// The success value of an operation that returns nothing else.
struct Done
{
};

template <class T, class E>
bool ok(const Result<T, E> &result)
{
    return result.index() == 0;
}

/// The success value; the caller has checked ok().
template <class T, class E>
T &valueOf(Result<T, E> &result)
{
    return std::get<0>(result);
}

template <class T, class E>
const T &valueOf(const Result<T, E> &result)
{
    return std::get<0>(result);
}

template <class T, class E>
T valueOf(Result<T, E> &&result)
{
    return std::get<0>(std::move(result));
}

/// The error; the caller has checked !ok().
template <class T, class E>
const E &errorOf(const Result<T, E> &result)
{
    return std::get<1>(result);
}

} // namespace eelgrasscove
