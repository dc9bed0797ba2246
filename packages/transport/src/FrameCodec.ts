/**
 * Frames between the processes of the system: four bytes of length, big-endian, then that many
 * bytes of CBOR. A frame above the bound is refused before it is read, so that a stranger or a
 * fault cannot make a process hold unbounded memory.
 */
import { Encoder } from 'cbor-x';

const LENGTH_BYTES = 4;

/** Largest frame in bytes; a whole configuration of the target's size fits. */
export const MAX_FRAME_BYTES = 64 * 1024 * 1024;

const codec = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });

export class FrameTooLargeError extends Error {
  constructor(readonly frameBytes: number) {
    super(`a frame of ${frameBytes} bytes is above the bound of ${MAX_FRAME_BYTES}`);
  }
}

/** Makes the bytes of one frame. */
export function encodeFrame(body: unknown): Buffer {
  const content = codec.encode(body);
  if (content.length > MAX_FRAME_BYTES) throw new FrameTooLargeError(content.length);
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + content.length);
  frame.writeUInt32BE(content.length, 0);
  content.copy(frame, LENGTH_BYTES);
  return frame;
}

/** Cuts a byte stream into frames. */
export class FrameDecoder {
  private chunks: Buffer[] = [];

  private buffered = 0;

  constructor(private mostFrameBytes = MAX_FRAME_BYTES) {}

  /** Bounds the frames from here on. */
  setMaxFrameBytes(mostFrameBytes: number): void {
    this.mostFrameBytes = mostFrameBytes;
  }

  /**
   * Takes in bytes and gives the bodies of all frames that are whole now, one at a time: what one
   * frame means may change the bound for the next.
   */
  *decode(chunk: Buffer): Generator {
    this.chunks.push(chunk);
    this.buffered += chunk.length;
    for (let length = this.wholeFrame(); length !== undefined; length = this.wholeFrame()) {
      const joined = this.join();
      const rest = joined.subarray(LENGTH_BYTES + length);
      this.chunks = rest.length > 0 ? [rest] : [];
      this.buffered = rest.length;
      yield codec.decode(joined.subarray(LENGTH_BYTES, LENGTH_BYTES + length));
    }
  }

  private wholeFrame(): number | undefined {
    if (this.buffered < LENGTH_BYTES) return undefined;
    if ((this.chunks[0]?.length ?? 0) < LENGTH_BYTES) this.join();
    const length = this.chunks[0]?.readUInt32BE(0) ?? 0;
    if (length > this.mostFrameBytes) throw new FrameTooLargeError(length);
    return this.buffered >= LENGTH_BYTES + length ? length : undefined;
  }

  private join(): Buffer {
    const [first] = this.chunks;
    if (this.chunks.length === 1 && first !== undefined) return first;
    const joined = Buffer.concat(this.chunks, this.buffered);
    this.chunks = [joined];
    return joined;
  }
}
