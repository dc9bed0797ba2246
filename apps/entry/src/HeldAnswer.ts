/**
 * Collects the answer of one attempt apart from those of other attempts of the same request, and
 * passes it on once it has won. An answer that is a stream or too large to be held has to be passed on
 * earlier: it then claims to be the only one first.
 */

import { BodyBytes } from '@hornbeampond/runtime';

/** Receives the answer of an attempt, head first. */
export interface AnswerSink<Head> {
  receiveHead(head: Head): void;
  /** Returns a promise if no more can be received until it resolves. */
  writeBytes(bytes: Uint8Array): Promise<void> | undefined;
}

/** As large as the answers that are buffered until they are complete; see `RelayAnswer`. */
const MAX_HELD_BYTES = 256 * 1024;

export class HeldAnswer<Head extends { readonly isStream?: boolean }> implements AnswerSink<Head> {
  private head: Head | undefined;

  private held = new BodyBytes();

  private isPassedOn = false;

  /**
   * @param claim - Ends the other attempts of the request; false if this one has been ended instead.
   */
  constructor(
    private readonly sink: AnswerSink<Head>,
    private readonly claim: () => boolean,
  ) {}

  receiveHead(head: Head): void {
    this.head = head;
  }

  writeBytes(bytes: Uint8Array): Promise<void> | undefined {
    if (this.isPassedOn) return this.sink.writeBytes(bytes);
    this.held.add(bytes);
    if (this.head?.isStream !== true && this.held.length <= MAX_HELD_BYTES) return undefined;
    return this.claim() ? this.passOn() : undefined;
  }

  /** Passes on what is held, unless that has happened. The answer must have won. */
  passOn(): Promise<void> | undefined {
    if (this.isPassedOn || this.head === undefined) return undefined;
    this.isPassedOn = true;
    this.sink.receiveHead(this.head);
    const { held } = this;
    this.held = new BodyBytes();
    return held.length === 0 ? undefined : this.sink.writeBytes(held.join());
  }
}
