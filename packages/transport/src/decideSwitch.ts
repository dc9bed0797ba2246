/**
 * Decides what a process does that lacks a revision which a store has stated. The answer to a new
 * subscription holds the whole state: on a slow link or in a busy process it takes longer than a change
 * that is already under way, so the process turns to another store only if its own does not have
 * the change, or does not say so.
 */
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';

/** What the followed store last stated of its revision. */
export interface StatedRevision {
  readonly revision: number;
  readonly at: MonotonicMilliseconds;
}

export interface SwitchSituation {
  /** The revision that this process lacks, and when it learnt of it. */
  readonly revision: number;
  readonly learntAt: MonotonicMilliseconds;
  readonly now: MonotonicMilliseconds;
  /** False while the followed store has not answered the subscription yet. */
  readonly isAnswered: boolean;
  readonly stated: StatedRevision | undefined;
}

/**
 * Stores answer one report within this time of each other, so a statement that is older than the one of
 * the other store by less is as new.
 */
const SAME_REPORT_MILLISECONDS: Milliseconds = 500;

/** A store that has not answered for so long is silent. */
const MAX_ANSWER_DELAY_MILLISECONDS: Milliseconds = 1000;

/** A change that the followed store has is pushed at once, and waits for one digest at most. */
const MAX_PUSH_DELAY_MILLISECONDS: Milliseconds = 1500;

export function decideSwitch(situation: SwitchSituation): 'wait' | 'switch' {
  const { revision, learntAt, now, isAnswered, stated } = situation;
  // The subscription has a timeout of its own.
  if (!isAnswered) return 'wait';
  const waited = now - learntAt;
  if (stated === undefined || stated.at < learntAt - SAME_REPORT_MILLISECONDS) {
    return waited < MAX_ANSWER_DELAY_MILLISECONDS ? 'wait' : 'switch';
  }
  if (stated.revision < revision) return 'switch';
  return waited < MAX_PUSH_DELAY_MILLISECONDS ? 'wait' : 'switch';
}
