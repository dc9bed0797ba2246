/**
 * A bounded breadth-first model checker. A model has an initial state, the steps possible from
 * each state and an invariant that must hold in all of them. A violation is reported with a
 * shortest sequence of steps that leads to it.
 */

/** One step possible from a state. `take` returns a new state and does not modify the old one. */
export interface Step<State> {
  readonly label: string;
  take(): State;
}

export interface Model<State> {
  readonly initial: State;
  /** Every step possible from `state`; an empty list ends the path. */
  steps(state: State): readonly Step<State>[];
  /** Identifies a state: two states with the same key are explored once. */
  key(state: State): string;
  /** Returns a description of the violated invariant, or undefined. */
  check(state: State): string | undefined;
}

export interface ExploreBounds {
  readonly maxStates: number;
  readonly maxDepth: number;
}

export interface Violation {
  readonly reason: string;
  /** Labels of the steps from the initial state to the violation. */
  readonly trace: readonly string[];
}

export interface Exploration {
  /** Distinct states that were checked. */
  readonly states: number;
  /** Number of steps from the initial state to the deepest states explored. */
  readonly depth: number;
  /** True if every state within `maxDepth` steps was checked. */
  readonly exhaustive: boolean;
  readonly violation?: Violation;
}

interface Visited<State> {
  readonly state: State;
  readonly label: string;
  readonly from: Visited<State> | undefined;
  readonly depth: number;
}

function buildTrace<State>(visited: Visited<State>): string[] {
  const trace: string[] = [];
  for (let node = visited; node.from !== undefined; node = node.from) trace.push(node.label);
  return trace.reverse();
}

/** Explores a model until a violation is found, no unexplored state is left or a bound is reached. */
export function exploreStates<State>(model: Model<State>, bounds: ExploreBounds): Exploration {
  const seen = new Set([model.key(model.initial)]);
  let frontier: Visited<State>[] = [{ state: model.initial, label: '', from: undefined, depth: 0 }];
  let depth = 0;
  const firstReason = model.check(model.initial);
  if (firstReason !== undefined) {
    const violation = { reason: firstReason, trace: [] };
    return { states: 1, depth, exhaustive: false, violation };
  }
  while (frontier.length > 0 && depth < bounds.maxDepth) {
    const next: Visited<State>[] = [];
    for (const visited of frontier) {
      for (const step of model.steps(visited.state)) {
        const state = step.take();
        const key = model.key(state);
        if (seen.has(key)) continue;
        seen.add(key);
        const reached = { state, label: step.label, from: visited, depth: visited.depth + 1 };
        const reason = model.check(state);
        if (reason !== undefined) {
          const violation = { reason, trace: buildTrace(reached) };
          return { states: seen.size, depth: reached.depth, exhaustive: false, violation };
        }
        if (seen.size >= bounds.maxStates) {
          return { states: seen.size, depth, exhaustive: false };
        }
        next.push(reached);
      }
    }
    if (next.length > 0) depth += 1;
    frontier = next;
  }
  return { states: seen.size, depth, exhaustive: true };
}
