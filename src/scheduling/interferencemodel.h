#pragma once

#include "common/time.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace monsoonspool::scheduling {

// Dense index of an image name, which saves string comparisons in frequent lookups.
using ImageNumber = std::size_t;

// A task on leftover cores that shares a worker with a serving task.
struct Neighbour
{
    ImageNumber image = 0;
    double coreShare = 0; // fraction of the worker's cores in use by the task
};

// The fitted parameters of one serving image, stored for the next leader.
struct LearnedInterference
{
    struct Sensitivity
    {
        std::string image;
        double value = 0; // see InterferenceModel::sensitivity()
    };
    std::string image;
    double baseRate = 0; // see InterferenceModel::baseRate()
    std::vector<Sensitivity> sensitivities; // to the images that interfere with it
};

// Estimates how much tasks of each image increase the tail latency of serving tasks of
// each image. Only a few pairs interfere, and jobs do not declare which.
//
// For each serving image, fits 1/tail = base - sum of sensitivity(image) * coreShare by ridge
// regression with the coefficients sensitivity(image) constrained to be non-negative: tail
// latency grows as the reciprocal of the capacity that the task's own load and its
// neighbours leave free. Observations decay exponentially, since interference changes
// over time.
//
// Clients name the images, so that their number is bounded, and so is that of the pairs: a further image is
// taken as one that neither serves nor interferes.
//
// Not thread-safe: owned by the control thread.
class InterferenceModel
{
public:
    // Adds one tail latency measurement of a serving task.
    void observe(ImageNumber serving, std::span<const Neighbour> neighbours, double tailMs);
    // Refits the model once FitInterval has passed since the last fit. Cheap to call.
    void fit(TimePoint now);

    // Returns the number of the image, assigning the next free one to a new name.
    ImageNumber numberOf(std::string_view image);

    // Returns the regression coefficient of `image`: the decrease of 1/tail of `serving`,
    // in 1/ms, if tasks of `image` used all cores of the worker. 0 for a pair that does
    // not interfere or is unknown.
    double sensitivity(ImageNumber serving, ImageNumber image) const;
    // Returns whether tasks of `image` interfere with any serving image.
    bool interferesWithAny(ImageNumber image) const;
    // Returns the mean of 1/tail of `serving` without neighbours, in 1/ms; 0 while unknown.
    double baseRate(ImageNumber serving) const;

    // Returns the current fit, to be stored.
    std::vector<LearnedInterference> learned() const;
    // Seeds the model with another scheduler's fit, weighted as a few dozen measurements.
    void restore(std::span<const LearnedInterference> learned);

private:
    struct Regression
    {
        std::vector<ImageNumber> images; // of features 1 and up; feature 0 is the intercept
        std::vector<double> gramMatrix; // Gram matrix of the features, row-major
        std::vector<double> crossProducts; // sums of feature * (1/tail)
        std::vector<double> weights; // the intercept, then the negated coefficients
        double count = 0; // effective number of observations after decay

        std::size_t size() const
        {
            return images.size() + 1;
        }
        // Returns nullopt if there are too many features.
        std::optional<std::size_t> indexOf(ImageNumber image);
        void add(std::span<const std::pair<std::size_t, double>> features, double y, double weight);
        void fit();
        void decay(double factor);
    };
    // Returns nullptr if there are too many.
    Regression *regressionOf(ImageNumber image);

    // The result of a fit for one serving image.
    struct FitResult
    {
        double baseRate = 0;
        std::vector<double> sensitivities; // by image number; 0 beyond the end
    };

    std::map<std::string, ImageNumber, std::less<>> m_numbers;
    std::map<ImageNumber, Regression> m_regressions;
    std::vector<FitResult> m_results; // by serving image
    TimePoint m_fittedAt;
};

} // namespace monsoonspool::scheduling
