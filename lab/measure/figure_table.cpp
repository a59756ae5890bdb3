#include "measure/figure_table.h"

#include <iomanip>
#include <iostream>

namespace sesamepaddle {

namespace {

// Column widths in characters, and digits after the decimal point.
constexpr int NameWidth = 44;
constexpr int FigureWidth = 12;
constexpr int FractionDigits = 3;

} // namespace

figure_table::figure_table(std::string_view Title) {
  std::cout << "\n"
            << Title << "\n"
            << std::left << std::setw(NameWidth) << "row" << std::right
            << std::setw(FigureWidth) << "figure" << std::setw(FigureWidth)
            << "target"
            << "           baseline\n";
}

void figure_table::add(std::string_view Name, double Figure, target_bound Side,
                       double Target, std::string_view Baseline) {
  const bool IsMet =
      Side == target_bound::None ||
      (Side == target_bound::AtMost ? Figure <= Target : Figure >= Target);
  AreMet = AreMet && IsMet;
  std::cout << std::left << std::setw(NameWidth) << Name << std::right
            << std::fixed << std::setprecision(FractionDigits)
            << std::setw(FigureWidth) << Figure;
  if (Side == target_bound::None)
    std::cout << std::setw(FigureWidth) << "-"
              << "           ";
  else
    std::cout << (Side == target_bound::AtMost ? " <=" : " >=")
              << std::setw(FigureWidth - 3) << Target
              << (IsMet ? "  met      " : "  MISSED   ");
  std::cout << Baseline << std::endl;
}

} // namespace sesamepaddle
