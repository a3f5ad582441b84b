#pragma once

#include "common/time.h"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace monsoonspool::scheduling {

// Stands for the name of an image; asked for often, so that names are not compared.
using ImageNumber = std::size_t;

// Work on leftover processors beside a serving task.
struct Neighbour
{
    ImageNumber image = 0;
    double coreShare = 0; // of the worker's processors, as used
};

// What is known of one serving image, to be kept beyond the life of a scheduler.
struct LearnedServing
{
    struct Press
    {
        std::string image;
        double press = 0; // see InterferenceModel::press()
    };
    std::string image;
    double baseRate = 0; // see InterferenceModel::baseRate()
    std::vector<Press> presses; // of the images that disturb it
};

// Learns by how much work of each image lengthens the response times of serving
// tasks of each image, since only a few pairs disturb each other and nobody
// declares which.
//
// For each serving image it fits 1/tail = base - sum of press(image) * coreShare by
// ridge regression with presses that are never negative: a tail grows as the
// reciprocal of what the load, its own and its neighbours', leaves free. What was
// seen fades, since interference shifts.
//
// Not thread-safe: owned by the control thread.
class InterferenceModel
{
public:
    // Takes in one measurement of a serving task.
    void observe(ImageNumber serving, std::span<const Neighbour> neighbours, double tailMs);
    // Fits what was seen since; costs little and is due once in FitInterval.
    void fit(TimePoint now);

    // Returns the number that stands for an image in the questions below.
    ImageNumber numberOf(std::string_view image);

    // Returns by how much, in 1/ms, one full worker's worth of `image` lowers the
    // reciprocal of the tail; 0 for a pair that is harmless or unknown.
    double press(ImageNumber serving, ImageNumber image) const;
    // Returns whether work of `image` disturbs any serving image.
    bool disturbsAny(ImageNumber image) const;
    // Returns the reciprocal of the tail of `serving` alone in the mean, in 1/ms; 0
    // while unknown.
    double baseRate(ImageNumber serving) const;

    // Returns what is believed now.
    std::vector<LearnedServing> learned() const;
    // Takes what another scheduler believed for a few dozen measurements of its own.
    void restore(std::span<const LearnedServing> learned);

private:
    struct Serving
    {
        std::vector<ImageNumber> images; // of the features, from index 1; 0 is the base
        std::vector<double> moments; // sums of products of features, row by row
        std::vector<double> products; // sums of feature times 1/tail
        std::vector<double> weights; // the base, and presses with a negative sign
        double count = 0;

        std::size_t size() const
        {
            return images.size() + 1;
        }
        std::size_t indexOf(ImageNumber image);
        void add(std::span<const std::pair<std::size_t, double>> features, double y, double weight);
        void fit();
        void fade(double factor);
    };
    Serving &servingOf(ImageNumber image);

    // What a fit says of one serving image.
    struct Answers
    {
        double baseRate = 0;
        std::vector<double> presses; // by image; those beyond the end are 0
    };

    std::map<std::string, ImageNumber, std::less<>> m_numbers;
    std::map<ImageNumber, Serving> m_servings;
    std::vector<Answers> m_answers; // by serving image
    TimePoint m_fittedAt;
};

} // namespace monsoonspool::scheduling
