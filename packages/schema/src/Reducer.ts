/**
 * The shape that every process of the system shares: one pure function from state and event to
 * effects. Time arrives as an event, randomness as a seeded generator kept in the state, and
 * input and output happen only in the shell that carries out the effects. For this reason the
 * binaries, the snapshot tests, fast-check and the state explorer all run the very same code.
 */

/**
 * Decides what one event means. It may change `state` in place, and must not read a clock, a
 * socket, a file or a random source.
 */
export type Reducer<State, Event, Effect> = (state: State, event: Event) => Effect[];
