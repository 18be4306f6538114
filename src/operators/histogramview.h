#pragma once

#include "admin.pb.h"

#include <string>
#include <string_view>

namespace clementinesill::operators {

// Sums the series of several daemons that have the same name and labels. The result is sorted by name and labels.
// Keeps only the series of the given name, or all series if it is empty.
schema::HistogramList mergeHistograms(const schema::HistogramList& list, std::string_view name);

// Upper bound in seconds of the bucket that contains the quantile, which is in [0, 1]; 0 if the series has no values.
double quantile(const schema::HistogramSeries& series, double quantile);

// Returns a table of counts and quantiles, followed by a bar chart of the buckets of each series if bars is set.
std::string renderHistograms(const schema::HistogramList& list, bool bars);

} // namespace clementinesill::operators
