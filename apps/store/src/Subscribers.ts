/**
 * Tracks the subscribers of this store and the latest report of every connected instance, and sends
 * pushes to all subscribers, to entries only or to all but entries.
 */
import type {
  EntryDigest,
  EntryReport,
  EntryUsage,
  InstanceReport,
  SpendingReport,
  StorePush,
  WorkReport,
} from '@hornbeampond/schema';
import { encodeFrame, type PeerSession } from '@hornbeampond/transport';
import type { BacklogWatch } from './BacklogWatch.js';
import { EntryDigestSender } from './EntryDigestSender.js';

/** What entries have reported, for subscribers that understand no digests. */
export interface SingleReports {
  readonly reports: readonly EntryReport[];
  readonly spending: readonly SpendingReport[];
  readonly workReports: readonly WorkReport[];
  readonly usage: readonly EntryUsage[];
}

/** What a subscriber understands; those of older versions understand less. */
export interface SubscriberAbilities {
  readonly receivesDigests: boolean;
  readonly acknowledgesDigests: boolean;
}

/** The response to a subscription. */
export interface SentResponse {
  readonly digestSequence: number;
  readonly bytes: number;
}

interface Subscriber extends SubscriberAbilities {
  readonly role: InstanceReport['role'];
}

function isEntry({ role }: Subscriber): boolean {
  return role === 'entry';
}

function acknowledgesEntryDigests(subscriber: Subscriber): boolean {
  const { receivesDigests, acknowledgesDigests } = subscriber;
  return isEntry(subscriber) && receivesDigests && acknowledgesDigests;
}

export class Subscribers {
  constructor(private readonly backlogWatch?: Pick<BacklogWatch, 'check' | 'remove'>) {}

  /** Number of pushes so far, also of those that nobody was to receive. */
  pushCount = 0;

  private readonly subscribers = new Map<PeerSession, Subscriber>();

  private readonly digestSender = new EntryDigestSender();

  /** By session, so that a report is removed together with the connection that sent it. */
  private readonly reportBySession = new Map<PeerSession, InstanceReport>();

  /** @param response - What the subscriber is sent before the first push. */
  add(
    session: PeerSession,
    report: InstanceReport,
    abilities: SubscriberAbilities,
    response: SentResponse,
  ): void {
    const subscriber = { role: report.role, ...abilities };
    this.subscribers.set(session, subscriber);
    this.reportBySession.set(session, report);
    if (!acknowledgesEntryDigests(subscriber)) this.digestSender.remove(session);
    else this.digestSender.add(session, response.digestSequence, response.bytes);
  }

  /** Called when a subscriber has applied a digest that asked for an acknowledgement. */
  acknowledgeDigest(session: PeerSession, sequence: number): void {
    this.digestSender.acknowledge(session, sequence);
  }

  /** Records a report. Sessions that have not subscribed report too; nothing is pushed to them. */
  recordReport(session: PeerSession, report: InstanceReport): void {
    this.reportBySession.set(session, report);
  }

  /** Ends the pushes to a session; its reports still count. */
  unsubscribe(session: PeerSession): void {
    this.subscribers.delete(session);
    this.digestSender.remove(session);
  }

  remove(session: PeerSession): void {
    this.unsubscribe(session);
    this.reportBySession.delete(session);
    this.backlogWatch?.remove(session);
  }

  get reports(): InstanceReport[] {
    return [...this.reportBySession.values()].sort((a, b) => a.instance.localeCompare(b.instance));
  }

  /** Sends a push to all subscribers. */
  push(push: StorePush): void {
    this.send(push, () => true);
  }

  /**
   * Sends a digest to entries.
   *
   * @param makeComplete - Makes the complete digest, for an entry that has missed many.
   */
  pushEntryDigest(digest: EntryDigest, makeComplete: () => EntryDigest): void {
    this.send(
      { type: 'entryDigest', digest },
      (subscriber) =>
        subscriber.receivesDigests && isEntry(subscriber) && !acknowledgesEntryDigests(subscriber),
    );
    this.backlogWatch?.check(this.digestSender.send(digest, makeComplete));
  }

  /** Sends a digest to all subscribers that are no entries. */
  pushDigestToOthers(digest: EntryDigest): void {
    this.send(
      { type: 'entryDigest', digest },
      (subscriber) => subscriber.receivesDigests && !isEntry(subscriber),
    );
  }

  /**
   * Sends the reports to subscribers of an older version, for as long as both run beside each other.
   */
  pushSingleReports({ reports, spending, workReports, usage }: SingleReports): void {
    const isOlder = ({ receivesDigests }: Subscriber) => !receivesDigests;
    const isOlderEntry = (subscriber: Subscriber) => isOlder(subscriber) && isEntry(subscriber);
    if (![...this.subscribers.values()].some(isOlder)) return;
    reports.forEach((report) => this.send({ type: 'entryReport', report }, isOlder));
    spending.forEach((report) => this.send({ type: 'spending', spending: report }, isOlderEntry));
    if (workReports.length > 0) this.send({ type: 'work', reports: workReports }, isOlderEntry);
    if (usage.length === 0) return;
    this.send({ type: 'usage', usage }, (other) => isOlder(other) && !isEntry(other));
  }

  private send(push: StorePush, isRecipient: (subscriber: Subscriber) => boolean): void {
    this.pushCount += 1;
    const sessions = [...this.subscribers]
      .filter(([, subscriber]) => isRecipient(subscriber))
      .map(([session]) => session);
    if (sessions.length === 0) return;
    const frame = encodeFrame({ type: 'push', body: push });
    sessions.forEach((session) => session.pushEncoded(frame));
    this.backlogWatch?.check(sessions);
  }
}
