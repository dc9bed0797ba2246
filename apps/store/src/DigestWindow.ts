/**
 * Flow control of the digests to one subscriber. It acknowledges digests that it has applied, and a
 * store sends no more of them while much is unacknowledged. Otherwise a subscriber whose link or
 * process takes less than the store sends would get everything later and later, also a change of the
 * configuration, which arrives on the same connection after all that was sent before it.
 */

/**
 * A subscriber in another region, with round trips of 40 ms, can take 1.6 MB/s with this; at a link of
 * 7 Mbit/s it is 75 ms of the link.
 */
export const WINDOW_BYTES = 64 * 1024;

/** The sequence of a sent digest whose acknowledgement is due, and all bytes sent up to it. */
interface DueAcknowledgement {
  readonly sequence: number;
  readonly bytesSent: number;
}

export class DigestWindow {
  private bytesSent = 0;

  private bytesAcknowledged = 0;

  private dueAcknowledgements: DueAcknowledgement[] = [];

  /** @param sequence - Of the complete digest in the response to the subscription. */
  constructor(private lastSequence: number) {}

  /** Sequence of the last digest that was sent. */
  get sentSequence(): number {
    return this.lastSequence;
  }

  /** True if another digest may be sent. */
  get isOpen(): boolean {
    // Without a due acknowledgement nothing would open the window again.
    if (this.dueAcknowledgements.length === 0) return true;
    return this.bytesSent - this.bytesAcknowledged <= WINDOW_BYTES;
  }

  recordSent(sequence: number, bytes: number, isAcknowledgementDue: boolean): void {
    this.lastSequence = sequence;
    this.bytesSent += bytes;
    if (!isAcknowledgementDue) return;
    this.dueAcknowledgements.push({ sequence, bytesSent: this.bytesSent });
  }

  acknowledge(sequence: number): void {
    const acknowledged = this.dueAcknowledgements.filter((due) => due.sequence <= sequence);
    const last = acknowledged[acknowledged.length - 1];
    if (last === undefined) return;
    this.bytesAcknowledged = last.bytesSent;
    this.dueAcknowledgements = this.dueAcknowledgements.slice(acknowledged.length);
  }
}
