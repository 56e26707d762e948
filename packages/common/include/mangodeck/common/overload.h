#ifndef MANGODECK_COMMON_OVERLOAD_H
#define MANGODECK_COMMON_OVERLOAD_H

namespace mangodeck {

/// Combines several lambdas into one visitor for std::visit.
template <typename... Handlers> struct Overload : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers> Overload(Handlers...) -> Overload<Handlers...>;

} // namespace mangodeck

#endif
