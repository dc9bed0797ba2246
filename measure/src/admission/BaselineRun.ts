/**
 * Plain policies before the same engines, as load balancers commonly have them: they know only
 * their own requests in flight, refuse nobody and look at no deadline. `hashOfConversation` always
 * gives a conversation to the same engine, the plain form of affinity.
 */
import type { Arrival, CallerOutcome } from '@hornbeampond/entry-core/testing';
import { EngineModel, VirtualTimeline, type EngineSpeed } from '@hornbeampond/testing';

export const baselines = [
  'roundRobin',
  'leastInFlight',
  'firstInFirstOut',
  'hashOfConversation',
] as const;
export type Baseline = (typeof baselines)[number];

const NETWORK_MILLISECONDS = 1;

interface Target {
  readonly engine: EngineModel;
  inFlight: number;
}

function hashOf(text: string): number {
  let hash = 0;
  for (const character of text) {
    hash = Math.imul(hash, 31) + (character.codePointAt(0) ?? 0);
  }
  return Math.abs(hash);
}

/** One entry under a baseline policy. */
class BaselineEntry {
  private next = 0;

  private readonly queue: (() => void)[] = [];

  private readonly targets: Target[];

  constructor(
    engines: readonly EngineModel[],
    private readonly baseline: Baseline,
    /** This entry's part of an engine's concurrency; only `firstInFirstOut` holds to it. */
    private readonly share: number,
  ) {
    this.targets = engines.map((engine) => ({ engine, inFlight: 0 }));
  }

  submit(conversation: string, run: (target: Target) => void): void {
    const target = this.choose(conversation);
    if (target === undefined) {
      this.queue.push(() => this.submit(conversation, run));
      return;
    }
    target.inFlight += 1;
    run(target);
  }

  end(target: Target): void {
    target.inFlight -= 1;
    this.queue.shift()?.();
  }

  private choose(conversation: string): Target | undefined {
    if (this.baseline === 'hashOfConversation') {
      return this.targets[hashOf(conversation) % this.targets.length];
    }
    if (this.baseline === 'roundRobin') {
      this.next = (this.next + 1) % this.targets.length;
      return this.targets[this.next];
    }
    const [least] = [...this.targets].sort((a, b) => a.inFlight - b.inFlight);
    const isFull = least === undefined || least.inFlight >= this.share;
    return this.baseline === 'firstInFirstOut' && isFull ? undefined : least;
  }
}

export interface BaselineOptions {
  readonly baseline: Baseline;
  readonly entries: number;
  readonly servers: number;
  readonly speed: EngineSpeed;
}

export interface BaselineResult {
  readonly outcomes: readonly CallerOutcome[];
  readonly recomputedTokens: number;
}

export function runBaseline(
  { baseline, entries, servers, speed }: BaselineOptions,
  arrivals: readonly Arrival[],
  until: number,
): BaselineResult {
  const timeline = new VirtualTimeline();
  const everComputed = new Set<string>();
  const engines = Array.from(
    { length: servers },
    (_, number) => new EngineModel(`engine-${number}`, timeline, speed, everComputed),
  );
  const share = Math.max(1, Math.floor(speed.concurrency / entries));
  const running = Array.from(
    { length: entries },
    () => new BaselineEntry(engines, baseline, share),
  );
  const outcomes = arrivals.map(({ at, request, answerTokens }, number) => {
    const outcome: CallerOutcome = { request, arrivedAt: at };
    const entry = running[number % entries];
    const send = (target: Target) => {
      const { promptTokens, prefixDigests } = request;
      target.engine.submit({
        promptTokens,
        prefixDigests,
        answerTokens,
        onFirstToken: () => {
          outcome.firstTokenAt = timeline.now;
        },
        onFinished: () => {
          outcome.finishedAt = timeline.now;
          entry?.end(target);
        },
      });
    };
    timeline.after(at, () => {
      // The first prefix is the workspace's own, the second names the conversation.
      entry?.submit(request.prefixDigests[1] ?? '', (target) =>
        timeline.after(NETWORK_MILLISECONDS, () => send(target)),
      );
    });
    return outcome;
  });
  timeline.runUntil(until);
  const recomputedTokens = engines.reduce((sum, engine) => sum + engine.recomputedTokens, 0);
  return { outcomes, recomputedTokens };
}
