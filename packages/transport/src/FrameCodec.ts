/**
 * Frames between the processes of the system: four bytes of length, big-endian, then that many
 * bytes of CBOR. A frame above the bound is refused before it is read, so that a stranger or a
 * fault cannot make a process hold unbounded memory.
 */
import { Encoder } from 'cbor-x';

const LENGTH_PREFIX_BYTES = 4;

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
  const frame = Buffer.allocUnsafe(LENGTH_PREFIX_BYTES + content.length);
  frame.writeUInt32BE(content.length, 0);
  content.copy(frame, LENGTH_PREFIX_BYTES);
  return frame;
}

/** Cuts a byte stream into frames. */
export class FrameDecoder {
  private chunks: Buffer[] = [];

  private bufferedBytes = 0;

  constructor(private maxFrameBytes = MAX_FRAME_BYTES) {}

  /** Bounds the frames from here on. */
  setMaxFrameBytes(maxFrameBytes: number): void {
    this.maxFrameBytes = maxFrameBytes;
  }

  /**
   * Takes in bytes and gives the bodies of all frames that are whole now, one at a time: what one
   * frame means may change the bound for the next.
   */
  *decode(chunk: Buffer): Generator {
    this.chunks.push(chunk);
    this.bufferedBytes += chunk.length;
    for (
      let length = this.readCompleteFrameLength();
      length !== undefined;
      length = this.readCompleteFrameLength()
    ) {
      const joined = this.joinChunks();
      const rest = joined.subarray(LENGTH_PREFIX_BYTES + length);
      this.chunks = rest.length > 0 ? [rest] : [];
      this.bufferedBytes = rest.length;
      yield codec.decode(joined.subarray(LENGTH_PREFIX_BYTES, LENGTH_PREFIX_BYTES + length));
    }
  }

  private readCompleteFrameLength(): number | undefined {
    if (this.bufferedBytes < LENGTH_PREFIX_BYTES) return undefined;
    if ((this.chunks[0]?.length ?? 0) < LENGTH_PREFIX_BYTES) this.joinChunks();
    const length = this.chunks[0]?.readUInt32BE(0) ?? 0;
    if (length > this.maxFrameBytes) throw new FrameTooLargeError(length);
    return this.bufferedBytes >= LENGTH_PREFIX_BYTES + length ? length : undefined;
  }

  private joinChunks(): Buffer {
    const [first] = this.chunks;
    if (this.chunks.length === 1 && first !== undefined) return first;
    const joined = Buffer.concat(this.chunks, this.bufferedBytes);
    this.chunks = [joined];
    return joined;
  }
}
