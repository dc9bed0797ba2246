/** What callers saw over a run. */
import type { ErrorKind, ProblemDocument } from '@hornbeampond/schema';

export class Tally {
  /** Requests begun, resends not counted. */
  begun = 0;

  whole = 0;

  /** Final answers with a problem, by kind. */
  readonly refusals = new Map<ErrorKind, number>();

  /** Requests whose last word was that the outcome is not known. */
  unknown = 0;

  /** Sent again after a connection that ended without an answer. */
  resent = 0;

  /** Answers that looked whole but were not the request's own, byte for byte. */
  wrongAnswers = 0;

  /** Requests without any final answer, resends included. */
  lost = 0;

  /** Keys of calls that may not be repeated, by what their caller was told last. */
  readonly toldByKey = new Map<string, 'whole' | 'notRun' | 'unknown'>();

  /** Keys that were ever sent by an attempt whose fate their caller did not learn. */
  readonly unsureKeys = new Set<string>();

  refuse(problem: ProblemDocument): void {
    this.refusals.set(problem.kind, (this.refusals.get(problem.kind) ?? 0) + 1);
    if (problem.ran === 'unknown') this.unknown += 1;
  }
}
