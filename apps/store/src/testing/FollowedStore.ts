/**
 * A store and an entry that follows it over a link of limited rate, in virtual time. What is pushed
 * to the entry waits for what was pushed before it, as on one connection. Reports of other entries
 * arrive at the store as fast as a test says.
 */
import { ManualTimerService } from '@hornbeampond/testing';
import {
  emptyConfiguration,
  type Configuration,
  type DigestAcknowledgement,
  type EntryDigest,
  type EntryReport,
  type Milliseconds,
  type StoreRequest,
  type StoreResponse,
  type Unsubscription,
} from '@hornbeampond/schema';
import {
  encodeSharedBody,
  FrameDecoder,
  StoreSubscription,
  type PeerSession,
} from '@hornbeampond/transport';
import { EntryDigestPublisher } from '../EntryDigestPublisher.js';
import { Subscribers } from '../Subscribers.js';
import { makeSubscribedResponse } from './makeSubscribedResponse.js';

type SubscribeRequest = Extract<StoreRequest, { type: 'subscribe' }>;

const MILLISECONDS_PER_SECOND = 1000;

/** One way, without the time that the bytes take. */
const LATENCY_MILLISECONDS: Milliseconds = 1;

export interface AppliedDigest {
  readonly digest: EntryDigest;
  readonly isWhole: boolean;
  readonly age: Milliseconds;
}

export interface FollowedStoreOptions {
  readonly bytesPerSecond: number;
  /** How long the entry takes for each frame, because it is short of processor time. */
  readonly millisecondsPerFrame?: Milliseconds;
}

export class FollowedStore {
  readonly timers = new ManualTimerService();

  readonly subscribers = new Subscribers();

  readonly publisher = new EntryDigestPublisher(this.timers, this.subscribers);

  /** What the entry has applied. */
  readonly digests: AppliedDigest[] = [];

  readonly configurations: { readonly revision: number; readonly at: Milliseconds }[] = [];

  bytesSent = 0;

  private linkFreeAt: Milliseconds = 0;

  private readonly decoder = new FrameDecoder();

  private readonly session: PeerSession;

  private readonly subscription: StoreSubscription;

  private revision = 1;

  constructor(private readonly options: FollowedStoreOptions) {
    this.session = this.makeSession();
    const address = { instance: 'store-1', dataCentre: 'wien-a', host: '127.0.0.1', port: 1 };
    const client = {
      isOpen: true,
      bulkReceivedAt: 0,
      bytesReceived: 0,
      request: async (request: unknown) => this.answer(request),
      push: (message: unknown) => {
        this.timers.after(LATENCY_MILLISECONDS, () => this.receivePush(message));
        return true;
      },
      close: () => {},
    };
    this.subscription = new StoreSubscription({
      timers: this.timers,
      report: {
        instance: 'entry',
        dataCentre: 'wien-a',
        role: 'entry',
        revision: 0,
        cutOff: false,
      },
      handlers: {
        onConfiguration: ({ revision }) =>
          this.configurations.push({ revision, at: this.timers.monotonicNow() }),
        onEntryDigest: (digest, isWhole) => this.recordDigest(digest, isWhole),
      },
      readStores: () => [{ address, client }],
      onMembers: () => {},
    });
    this.receive = (push) => this.subscription.receivePush(address, push as never);
  }

  private readonly receive: (push: unknown) => void;

  async start(): Promise<void> {
    this.subscription.subscribeIfNeeded();
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }

  stop(): void {
    this.subscription.stop();
    this.publisher.close();
  }

  /** Lets `count` other entries report once in each `interval` for `duration`. */
  runReports(
    duration: Milliseconds,
    makeReports: () => readonly EntryReport[],
    interval = 50,
  ): void {
    const endsAt = this.timers.monotonicNow() + duration;
    while (this.timers.monotonicNow() < endsAt) {
      makeReports().forEach((report) => this.publisher.addReport(report));
      this.timers.advance(interval);
    }
  }

  /** Publishes a change of the configuration; returns its revision. */
  publishConfiguration(): number {
    this.revision += 1;
    const configuration: Configuration = { ...emptyConfiguration, revision: this.revision };
    this.subscribers.push({ type: 'configuration', configuration });
    return this.revision;
  }

  /** When the entry had a revision; undefined if it has not got it. */
  appliedAt(revision: number): Milliseconds | undefined {
    return this.configurations.find((applied) => applied.revision >= revision)?.at;
  }

  private makeSession(): PeerSession {
    const peer = {
      cluster: 'tested',
      instance: 'entry',
      dataCentre: 'wien-a',
      role: 'entry',
    } as const;
    return {
      peer,
      bytesWaiting: 0,
      push: () => {},
      pushEncoded: (frame) => this.send(frame),
      close: () => {},
    };
  }

  private send(frame: Buffer): void {
    const { bytesPerSecond, millisecondsPerFrame = 0 } = this.options;
    const now = this.timers.monotonicNow();
    const transfer = (frame.length * MILLISECONDS_PER_SECOND) / bytesPerSecond;
    this.linkFreeAt = Math.max(now, this.linkFreeAt) + transfer + millisecondsPerFrame;
    this.bytesSent += frame.length;
    this.timers.after(this.linkFreeAt - now + LATENCY_MILLISECONDS, () => {
      for (const message of this.decoder.decode(frame)) {
        this.receive((message as { body: unknown }).body);
      }
    });
  }

  private answer(request: unknown): StoreResponse {
    const {
      report,
      receivesDigests = false,
      acknowledgesDigests = false,
    } = request as SubscribeRequest;
    const configuration = { ...emptyConfiguration, revision: this.revision };
    const digest = { ...this.publisher.makeCompleteDigest(), isAcknowledgementDue: true };
    const response = makeSubscribedResponse(configuration, digest);
    const abilities = { receivesDigests, acknowledgesDigests };
    const { sequence: digestSequence } = this.publisher;
    const bytes = encodeSharedBody(response).length;
    this.subscribers.add(this.session, report, abilities, { digestSequence, bytes });
    return response;
  }

  private receivePush(message: unknown): void {
    const push = message as Unsubscription | DigestAcknowledgement;
    if (push.type === 'unsubscribe') this.subscribers.unsubscribe(this.session);
    else this.subscribers.acknowledgeDigest(this.session, push.sequence);
  }

  private recordDigest(digest: EntryDigest, isWhole: boolean): void {
    const age = this.timers.wallNow() - (digest.publishedAt ?? 0);
    this.digests.push({ digest, isWhole, age });
  }
}
