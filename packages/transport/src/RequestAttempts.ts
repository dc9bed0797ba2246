/**
 * Records how the attempts of one request to the stores ended: the last answer of each store, the
 * connections that were open, and the time. Log lines describe an unanswered request with it.
 */
import type { TimerService } from '@hornbeampond/runtime';
import type {
  Milliseconds,
  MonotonicMilliseconds,
  StoreAnswerKind,
  StoreResponse,
} from '@hornbeampond/schema';
import { PeerRequestError } from './PeerClient.js';

/** The answer of one store, or why there is none. */
export interface StoreAnswer {
  readonly kind: StoreAnswerKind;
  /** The leader that the store named. */
  readonly leader?: string;
  /** The store's or the connection's own words. */
  readonly reason?: string;
}

export interface RequestAttemptsSummary {
  /** How the last attempt ended. */
  readonly cause: StoreAnswerKind;
  readonly attempts: number;
  readonly duration: Milliseconds;
  /** At the last attempt. */
  readonly openConnections: number;
  readonly knownStores: number;
  /** The last answer of each store that was asked, and the time since then. */
  readonly answers: Readonly<Record<string, StoreAnswer & { readonly age: Milliseconds }>>;
}

const kindsByReason: Readonly<Record<string, StoreAnswerKind>> = {
  diskFull: 'readOnly',
  logBacklog: 'logBacklog',
  'too few stores have joined yet': 'tooFewStores',
  'no configuration has been sent yet': 'nothingConfigured',
};

/** Classifies a response that is no answer to the request; undefined for all others. */
export function classifyStoreResponse(response: StoreResponse): StoreAnswer | undefined {
  switch (response.type) {
    case 'notLeader': {
      const { leader } = response;
      return leader === undefined ? { kind: 'noLeaderKnown' } : { kind: 'notLeader', leader };
    }
    case 'unavailable': {
      const { reason } = response;
      return { kind: kindsByReason[reason] ?? 'otherRefusal', reason };
    }
    case 'unsure':
      return { kind: 'unsure', reason: response.reason };
    default:
      return undefined;
  }
}

/** Classifies the failure of a request that got no response. */
export function classifyRequestError(error: unknown): StoreAnswer {
  if (!(error instanceof PeerRequestError)) return { kind: 'noAnswer', reason: String(error) };
  return { kind: error.failure, reason: error.message };
}

export class RequestAttempts {
  private readonly startedAt: MonotonicMilliseconds;

  private attempts = 0;

  private cause: StoreAnswerKind = 'notAsked';

  private connections = { open: 0, known: 0 };

  private readonly answers = new Map<string, StoreAnswer & { at: MonotonicMilliseconds }>();

  constructor(private readonly timers: TimerService) {
    this.startedAt = timers.monotonicNow();
  }

  recordConnections(open: number, known: number): void {
    this.connections = { open, known };
    this.attempts += 1;
    if (open === 0) this.cause = known === 0 ? 'noStore' : 'noConnection';
  }

  recordAnswer(store: string, answer: StoreAnswer): void {
    this.cause = answer.kind;
    this.answers.set(store, { ...answer, at: this.timers.monotonicNow() });
  }

  summarize(): RequestAttemptsSummary {
    const now = this.timers.monotonicNow();
    const answers = [...this.answers].map(([store, { at, ...answer }]) => [
      store,
      { ...answer, age: Math.round(now - at) },
    ]);
    return {
      cause: this.cause,
      attempts: this.attempts,
      duration: Math.round(now - this.startedAt),
      openConnections: this.connections.open,
      knownStores: this.connections.known,
      answers: Object.fromEntries(answers),
    };
  }
}
