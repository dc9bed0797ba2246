/**
 * The body of an answer to an opaque call. Chunks are passed on as they arrive, without a promise for
 * each: events of a stream are short, and promises were most of what relaying one costs.
 */

/**
 * What shows that a body has ended: its length or chunks (`framing`), or only that its backend server has
 * closed the connection and not reset it (`close`).
 */
export type BodyEnd =
  | { readonly shownBy: 'framing' }
  | {
      readonly shownBy: 'close';
      /** True if the backend server had received the whole request by then. */
      readonly hasSentRequest: boolean;
    };

export abstract class RelayBody {
  /**
   * Passes on each chunk in order. If `receive` returns a promise, the next chunk waits for it, and
   * the sender is held back. Resolves at the end of the body with what shows it, which need not prove
   * that the body is whole; rejects with a `BackendServerFailure` if the body is truncated, or with the
   * error of `receive`. Can be called once.
   */
  abstract forEach(receive: (chunk: Uint8Array) => Promise<void> | undefined): Promise<BodyEnd>;
}
