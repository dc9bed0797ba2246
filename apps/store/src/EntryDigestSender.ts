/**
 * Sends the digests to the entries that follow this store, to each as fast as it acknowledges them. An
 * entry that is behind is sent nothing until its window opens, and then one digest of all that it has
 * missed, so that it is never further behind than its window and that digest.
 */
import type { EntryDigest, StorePush } from '@hornbeampond/schema';
import { encodeFrame, type PeerSession } from '@hornbeampond/transport';
import { DigestWindow } from './DigestWindow.js';
import { RecentDigests } from './RecentDigests.js';

/** Bytes of digests after which an acknowledgement is asked for; a part of the window. */
const ACKNOWLEDGEMENT_INTERVAL_BYTES = 16 * 1024;

interface EncodedDigest {
  readonly sequence: number;
  readonly frame: Buffer;
  readonly isAcknowledgementDue: boolean;
}

function encodeDigest(digest: EntryDigest, isWhole: boolean): EncodedDigest {
  const { sequence, isAcknowledgementDue = false } = digest;
  const push: StorePush = { type: 'entryDigest', digest, ...(isWhole ? { isWhole } : {}) };
  return { sequence, isAcknowledgementDue, frame: encodeFrame({ type: 'push', body: push }) };
}

export class EntryDigestSender {
  private readonly windows = new Map<PeerSession, DigestWindow>();

  private readonly recentDigests = new RecentDigests();

  private bytesSinceAcknowledgement = 0;

  /**
   * Begins to send digests to an entry that acknowledges them.
   *
   * @param sequence - Of the complete digest that the entry is sent in the response to its subscription.
   * @param bytes - Size of that response.
   */
  add(session: PeerSession, sequence: number, bytes: number): void {
    const window = new DigestWindow(sequence);
    window.recordSent(sequence, bytes, true);
    this.windows.set(session, window);
  }

  remove(session: PeerSession): void {
    this.windows.delete(session);
  }

  acknowledge(session: PeerSession, sequence: number): void {
    this.windows.get(session)?.acknowledge(sequence);
  }

  /** Sends a digest; returns the sessions that were sent something. */
  send(digest: EntryDigest, makeComplete: () => EntryDigest): PeerSession[] {
    this.recentDigests.add(digest);
    const current = this.encodeCurrent(digest);
    const merged = new Map<number | undefined, EncodedDigest>();
    return [...this.windows].flatMap(([session, window]) => {
      if (!window.isOpen) return [];
      const isInStep = window.sentSequence === digest.sequence - 1;
      const encoded = isInStep
        ? current
        : this.encodeMissed(window.sentSequence, merged, makeComplete);
      session.pushEncoded(encoded.frame);
      window.recordSent(encoded.sequence, encoded.frame.length, encoded.isAcknowledgementDue);
      return [session];
    });
  }

  private encodeCurrent(digest: EntryDigest): EncodedDigest {
    const isAcknowledgementDue = this.bytesSinceAcknowledgement >= ACKNOWLEDGEMENT_INTERVAL_BYTES;
    const flag = isAcknowledgementDue ? { isAcknowledgementDue } : {};
    const encoded = encodeDigest({ ...digest, ...flag }, false);
    if (isAcknowledgementDue) this.bytesSinceAcknowledgement = 0;
    this.bytesSinceAcknowledgement += encoded.frame.length;
    return encoded;
  }

  /** @param merged - What was encoded for this digest, by the sequence after which it begins. */
  private encodeMissed(
    sentSequence: number,
    merged: Map<number | undefined, EncodedDigest>,
    makeComplete: () => EntryDigest,
  ): EncodedDigest {
    const start = this.recentDigests.chooseStart(sentSequence);
    const known = merged.get(start);
    if (known !== undefined) return known;
    const missed = start === undefined ? makeComplete() : this.recentDigests.mergeSince(start);
    const encoded = encodeDigest({ ...missed, isAcknowledgementDue: true }, start === undefined);
    merged.set(start, encoded);
    return encoded;
  }
}
