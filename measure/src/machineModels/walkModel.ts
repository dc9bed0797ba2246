/**
 * Random walks through a model, longer than a whole exploration can go. The picks come from
 * fast-check with a fixed seed, which also shrinks a walk that fails.
 */
import fc from 'fast-check';
import type { Model } from '@hornbeampond/testing';

export interface WalkBounds {
  readonly walks: number;
  readonly mostSteps: number;
  readonly seed: number;
}

/** Follows one walk; returns what is wrong in the first bad state, with its steps. */
function walk<State>(model: Model<State>, picks: readonly number[]): string | undefined {
  let state = model.initial;
  const trace: string[] = [];
  for (const pick of picks) {
    const steps = model.steps(state);
    const step = steps[pick % steps.length];
    if (step === undefined) return undefined;
    state = step.take();
    trace.push(step.label);
    const reason = model.check(state);
    if (reason !== undefined) return `${reason} after ${trace.join(' > ')}`;
  }
  return undefined;
}

/** Throws with the shortest failing walk that fast-check finds. */
export function walkModel<State>(model: Model<State>, bounds: WalkBounds): void {
  const picks = fc.array(fc.nat(), { minLength: bounds.mostSteps, maxLength: bounds.mostSteps });
  fc.assert(
    fc.property(picks, (chosen) => {
      const reason = walk(model, chosen);
      if (reason !== undefined) throw new Error(reason);
    }),
    { seed: bounds.seed, numRuns: bounds.walks, includeErrorInReport: true },
  );
}
