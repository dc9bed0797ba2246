/**
 * Reads request bodies, and counts the bytes of all that an entry holds, from their arrival until their
 * exchanges end. Each body is within the limit for callers, but a few dozen of the largest ones would fill
 * the memory of the process, which the platform then ends with all its streams.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { HornbeampondError, type Milliseconds } from '@hornbeampond/schema';
import { readBody, type HttpConnection } from '@hornbeampond/transport';

/** Beside a heap of 200 MB, in an entry with 350 MB. */
export const MAX_HELD_BODY_BYTES = 64 * 1024 * 1024;

/**
 * Smaller bodies are refused only once callers hold more than all large bodies may take, and those that
 * hold most make room for them first.
 */
const SMALL_BODY_BYTES = 64 * 1024;

/** The largest bodies are sent on and answered within about this time. */
const RETRY_AFTER_MILLISECONDS: Milliseconds = 1000;

function makeRefusal(): HornbeampondError {
  const details = { retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS };
  return new HornbeampondError('overloaded', 'There is no room for the body', details);
}

/** The bytes of one body. */
export class HeldBody {
  private bytes = 0;

  private isReleased = false;

  constructor(
    private readonly all: HeldBodies,
    private readonly connection?: HttpConnection,
  ) {}

  /**
   * Counts the next bytes, of a body of which `receivedBytes` have come by then. Returns the refusal if there
   * is no room for them, and holds nothing from then on. What still arrives after the exchange has ended is
   * not held either: nothing would release it.
   */
  hold(bytes: number, receivedBytes: number): HornbeampondError | undefined {
    const isSmall = receivedBytes <= SMALL_BODY_BYTES;
    const hasRoom = isSmall || this.all.bytes + bytes <= this.all.maxBytes;
    if (this.isReleased || !hasRoom || this.connection?.holdBody(bytes) === false) {
      this.release();
      return makeRefusal();
    }
    this.bytes += bytes;
    this.all.bytes += bytes;
    return undefined;
  }

  release(): void {
    this.isReleased = true;
    this.all.bytes -= this.bytes;
    this.connection?.releaseBody(this.bytes);
    this.bytes = 0;
  }
}

export class HeldBodies {
  /** Of all bodies together. */
  bytes = 0;

  /** @param maxBytes - Large bodies are refused beyond it. */
  constructor(readonly maxBytes = MAX_HELD_BODY_BYTES) {}

  add(connection?: HttpConnection): HeldBody {
    return new HeldBody(this, connection);
  }

  /** Reads a body and holds it until the response has ended, whichever way. */
  async read(
    message: IncomingMessage,
    response: ServerResponse,
    maxBytes: number,
    connection?: HttpConnection,
  ): Promise<Buffer> {
    const held = this.add(connection);
    response.once('close', () => held.release());
    return readBody(message, maxBytes, (bytes, received) => held.hold(bytes, received));
  }
}
