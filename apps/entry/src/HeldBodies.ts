/**
 * Counts the bytes of the request bodies that an entry holds, from their arrival until their exchanges
 * end. Each body is within the limit for callers, but a few dozen of the largest ones would fill the
 * memory of the process, which the platform then ends with all its streams.
 */

/** Beside a heap of 200 MB, in an entry with 350 MB. */
export const MAX_HELD_BODY_BYTES = 64 * 1024 * 1024;

/** Smaller bodies are taken in any case: their number is limited as that of the requests is. */
const SMALL_BODY_BYTES = 64 * 1024;

/** The bytes of one body. */
export class HeldBody {
  private bytes = 0;

  constructor(private readonly all: HeldBodies) {}

  /** Returns false, and holds nothing any more, if there is no room for these bytes. */
  hold(bytes: number, receivedBytes: number): boolean {
    if (receivedBytes > SMALL_BODY_BYTES && this.all.bytes + bytes > MAX_HELD_BODY_BYTES) {
      this.release();
      return false;
    }
    this.bytes += bytes;
    this.all.bytes += bytes;
    return true;
  }

  release(): void {
    this.all.bytes -= this.bytes;
    this.bytes = 0;
  }
}

export class HeldBodies {
  /** Of all bodies together. */
  bytes = 0;

  add(): HeldBody {
    return new HeldBody(this);
  }
}
