/**
 * Encodes and decodes the frames that processes of the system exchange: a length of four bytes,
 * big-endian, followed by that many bytes of CBOR. A frame above the size limit is rejected as soon
 * as its length is known, so that a peer cannot make a process buffer unlimited data.
 */
import { Encoder } from 'cbor-x';
import { UNANSWERED_REQUEST_ID } from './peerMessages.js';

const LENGTH_PREFIX_BYTES = 4;

/** Large enough for a complete configuration of the largest supported size. */
export const MAX_FRAME_BYTES = 64 * 1024 * 1024;

const codec = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });

export class FrameTooLargeError extends Error {
  constructor(readonly frameBytes: number) {
    super(`a frame of ${frameBytes} bytes exceeds the limit of ${MAX_FRAME_BYTES} bytes`);
  }
}

/** How CBOR encodes null, in one byte. */
const NULL_BYTES = 1;

function joinFrame(parts: readonly Buffer[]): Buffer {
  const contentBytes = parts.reduce((sum, part) => sum + part.length, 0);
  if (contentBytes > MAX_FRAME_BYTES) throw new FrameTooLargeError(contentBytes);
  const frame = Buffer.allocUnsafe(LENGTH_PREFIX_BYTES + contentBytes);
  frame.writeUInt32BE(contentBytes, 0);
  let offset = LENGTH_PREFIX_BYTES;
  parts.forEach((part) => {
    offset += part.copy(frame, offset);
  });
  return frame;
}

/** Encodes one frame. */
export function encodeFrame(body: unknown): Buffer {
  return joinFrame([codec.encode(body)]);
}

/** Encodes the body of a message that is sent on several connections. */
export function encodeSharedBody(body: unknown): Buffer {
  return codec.encode(body);
}

/** An encoded body in place of a response, for a response that is sent to several peers. */
export class SharedBody {
  readonly bytes: Buffer;

  constructor(body: unknown) {
    this.bytes = encodeSharedBody(body);
  }
}

/**
 * Encodes one frame with a body that `encodeSharedBody` has encoded. The body is the last field, so
 * that its bytes take the place of an encoded null.
 */
export function encodeFrameAround(envelope: object, sharedBody: Buffer): Buffer {
  const encoded = codec.encode({ ...envelope, body: null });
  return joinFrame([encoded.subarray(0, -NULL_BYTES), sharedBody]);
}

/** Encodes a request that needs no response, as a frame that can be sent on several connections. */
export function encodeUnansweredRequest(body: unknown): Buffer {
  return encodeFrame({ type: 'request', id: UNANSWERED_REQUEST_ID, body });
}

/** Splits a byte stream into frames and decodes their bodies. */
export class FrameDecoder {
  private chunks: Buffer[] = [];

  private bufferedBytes = 0;

  constructor(private maxFrameBytes = MAX_FRAME_BYTES) {}

  /** Sets the size limit of the frames that follow. */
  setMaxFrameBytes(maxFrameBytes: number): void {
    this.maxFrameBytes = maxFrameBytes;
  }

  /**
   * Adds bytes and yields the bodies of the frames that they complete. It yields one at a time,
   * because the handling of one frame may change the size limit of the next.
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
