// Base class of the models whose nodes exchange messages. It holds the messages in flight, which
// may arrive in any order, twice or never.
#pragma once

#include <fmt/format.h>

#include <functional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "model_checker/search.hpp"

namespace tideline::model_checker {

// Model is the derived class, SimulatedWorld the simulated nodes, and Limits how often each kind of
// event that is not a delivery may still happen.
template <class Model, class SimulatedWorld, class Message, class Limits>
class MessageModel {
  public:
    explicit MessageModel(const SimulatedWorld& simulated_world) : world(simulated_world) {}

    // Moves the messages that the nodes have sent since the last call into in_flight.
    void collect_sent_messages() {
        for (Message& message : world.take_sent()) {
            in_flight.insert(std::move(message));
        }
    }
    std::string fault(const Model&) const {
        return world.fault();
    }

    SimulatedWorld world;
    std::multiset<Message> in_flight;
    Limits remaining;

  protected:
    using Events = std::vector<Event<Model>>;
    using Action = std::function<void(Model&)>;

    // Adds an event. After its action, the messages that the action sent are in flight.
    static void add_event(Events& events, std::string text, Action action) {
        events.push_back({std::move(text), [action = std::move(action)](Model& model) {
                              action(model);
                              model.collect_sent_messages();
                          }});
    }
    // Adds two events: the delivery of a message to a node, and a delivery that leaves a copy of
    // the message in flight.
    void add_delivery(Events& events, const std::string& text, const Message& message,
                      int to) const {
        add_event(events, text, [message, to](Model& model) {
            model.in_flight.erase(model.in_flight.find(message));
            model.world.deliver(message, to);
        });
        if (remaining.redeliveries > 0) {
            add_event(events, text + ", and again later", [message, to](Model& model) {
                --model.remaining.redeliveries;
                model.world.deliver(message, to);
            });
        }
    }
    // Returns the messages in flight, sorted and without duplicates.
    std::vector<const Message*> distinct_messages() const {
        std::vector<const Message*> messages;
        for (const Message& message : in_flight) {
            if (messages.empty() || *messages.back() < message) {
                messages.push_back(&message);
            }
        }
        return messages;
    }
    std::string in_flight_state() const {
        std::string text;
        for (const Message& message : in_flight) {
            text += fmt::format("{}>{}:", message.from, message.to) + message.bytes + "|";
        }
        return text;
    }
};

}  // namespace tideline::model_checker
