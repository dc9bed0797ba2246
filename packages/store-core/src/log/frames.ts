/**
 * Encodes values as checksummed frames, the format of all files of the store. A log syncs each
 * frame before it writes the next, so that only its last frame can be incomplete. An invalid frame
 * before a valid one is therefore damage and not an unfinished write.
 */
import { Encoder } from 'cbor-x';
import xxhash from 'xxhash-wasm';

const MAGIC = 0x48504631;
const LENGTH_OFFSET = 4;
const CHECKSUM_OFFSET = 8;
const HEADER_BYTES = 16;

/** Encodes the values in all files of the store. */
export const codec = new Encoder({ useRecords: false });
const { h64Raw } = await xxhash();

/** The length seeds the checksum, so that a frame with a damaged length is invalid. */
function computeChecksum(payload: Uint8Array): bigint {
  return h64Raw(payload, BigInt(payload.length));
}

export function encodeFrame(value: unknown): Uint8Array {
  const payload = codec.encode(value);
  const frame = Buffer.alloc(HEADER_BYTES + payload.length);
  frame.writeUInt32BE(MAGIC, 0);
  frame.writeUInt32BE(payload.length, LENGTH_OFFSET);
  frame.writeBigUInt64BE(computeChecksum(payload), CHECKSUM_OFFSET);
  frame.set(payload, HEADER_BYTES);
  return frame;
}

export interface Frame {
  readonly value: unknown;
  /** Offset at which the next frame starts. */
  readonly endOffset: number;
}

/** Decodes the frame at `offset`, or returns undefined if it is incomplete or invalid. */
export function decodeFrame(file: Uint8Array, offset: number): Frame | undefined {
  const bytes = Buffer.from(file.buffer, file.byteOffset, file.byteLength);
  if (offset + HEADER_BYTES > bytes.length) return undefined;
  if (bytes.readUInt32BE(offset) !== MAGIC) return undefined;
  const start = offset + HEADER_BYTES;
  const end = start + bytes.readUInt32BE(offset + LENGTH_OFFSET);
  if (end > bytes.length) return undefined;
  const payload = bytes.subarray(start, end);
  if (bytes.readBigUInt64BE(offset + CHECKSUM_OFFSET) !== computeChecksum(payload))
    return undefined;
  return { value: codec.decode(payload), endOffset: end };
}

/** True if a valid frame starts at `offset` or anywhere after it. */
export function hasValidFrameFrom(file: Uint8Array, offset: number): boolean {
  const bytes = Buffer.from(file.buffer, file.byteOffset, file.byteLength);
  const magic = Buffer.alloc(4);
  magic.writeUInt32BE(MAGIC, 0);
  for (
    let position = bytes.indexOf(magic, offset);
    position !== -1;
    position = bytes.indexOf(magic, position + 1)
  ) {
    if (decodeFrame(bytes, position) !== undefined) return true;
  }
  return false;
}
