#pragma once

#include "admin.pb.h"

#include <string>
#include <string_view>

namespace clementinesill::operators {

// Adds up the series of several daemons that have the same name and labels, in the order of names and labels.
// Only series of the name wanted are kept; all of them if it is empty.
schema::HistogramList mergeHistograms(const schema::HistogramList& list, std::string_view wanted);

// Upper bound in seconds of the bucket that holds the quantile in [0, 1]; 0 without values.
double quantile(const schema::HistogramSeries& series, double quantile);

// A table of counts and quantiles, followed by a bar for each bucket if wanted.
std::string renderHistograms(const schema::HistogramList& list, bool bars);

} // namespace clementinesill::operators
