#ifndef LIBZINNIASTEP_BASE_OVERLOADED_H_
#define LIBZINNIASTEP_BASE_OVERLOADED_H_

namespace zinniastep {

// Joins lambdas into one visitor for std::visit.
template <class... Functions>
struct Overloaded : Functions... {
  using Functions::operator()...;
};

// Lets clang, too, deduce the lambdas' types.
template <class... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_BASE_OVERLOADED_H_
