/**
 * The type of the state machine at the core of each process. A reducer takes the time from events
 * and random numbers from a seeded generator in its state; the process applies the effects that it
 * returns. Without input and output of its own, the same code runs in processes and in simulations.
 */

/**
 * Handles one event: changes `state` in place and returns the effects to apply. A reducer must not
 * read a clock, a socket, a file or an unseeded random source.
 */
export type Reducer<State, Event, Effect> = (state: State, event: Event) => Effect[];
