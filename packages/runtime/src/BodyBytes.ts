/**
 * Collects the bytes of a body. Small pieces are copied into blocks: a piece of one byte is an object of
 * its own otherwise, and keeps all that was read with it. A body of known length is copied into one block
 * once a part of it has come, so that the whole does not take its bytes twice.
 */

/** Larger pieces are kept as they are. */
const MIN_KEPT_BYTES = 16 * 1024;

const MIN_BLOCK_BYTES = 1024;
const MAX_BLOCK_BYTES = 64 * 1024;

/** A caller may announce much and send little: no more than so many times what has come is allocated. */
const MAX_EXPECTED_RATIO = 4;

function toBuffer(bytes: Uint8Array): Buffer {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}

export class BodyBytes {
  /** Number of bytes collected. */
  length = 0;

  /** Full blocks, and the used part of the last one. */
  private blocks: Buffer[] = [];

  /** Unused part of the last block. */
  private free: Buffer = Buffer.alloc(0);

  private usedOfLast = 0;

  private last: Buffer | undefined;

  /** @param expectedBytes - The length of the whole body, 0 if it is not known. */
  constructor(private readonly expectedBytes = 0) {}

  add(bytes: Uint8Array): void {
    const piece = Buffer.isBuffer(bytes) ? bytes : toBuffer(bytes);
    this.length += piece.length;
    if (piece.length >= MIN_KEPT_BYTES) {
      this.closeBlock();
      this.blocks.push(piece);
      return;
    }
    let rest = piece;
    while (rest.length > 0) {
      if (this.free.length === 0) this.openBlock(rest.length);
      const copied = rest.copy(this.free);
      this.free = this.free.subarray(copied);
      this.usedOfLast += copied;
      rest = rest.subarray(copied);
    }
  }

  clear(): void {
    this.blocks = [];
    this.last = undefined;
    this.free = Buffer.alloc(0);
  }

  join(): Buffer {
    this.closeBlock();
    const [first] = this.blocks;
    if (first !== undefined && this.blocks.length === 1) return first;
    return Buffer.concat(this.blocks);
  }

  private closeBlock(): void {
    if (this.last !== undefined) this.blocks.push(this.last.subarray(0, this.usedOfLast));
    this.last = undefined;
    this.free = Buffer.alloc(0);
  }

  /** Blocks grow with the body, so that many small bodies take little. */
  private openBlock(leastBytes: number): void {
    this.closeBlock();
    const storedBytes = this.blocks.reduce((sum, { length }) => sum + length, 0);
    const known = (storedBytes + leastBytes) * MAX_EXPECTED_RATIO;
    if (storedBytes < this.expectedBytes && this.expectedBytes <= known) {
      this.openWholeBlock(storedBytes);
      return;
    }
    const size = Math.max(leastBytes, MIN_BLOCK_BYTES, this.length);
    this.last = Buffer.allocUnsafe(Math.min(size, MAX_BLOCK_BYTES));
    this.free = this.last;
    this.usedOfLast = 0;
  }

  /** Takes one block for the whole body, with what is stored of it at its beginning. */
  private openWholeBlock(storedBytes: number): void {
    this.last = Buffer.allocUnsafe(this.expectedBytes);
    this.blocks.reduce((at, block) => at + block.copy(this.last as Buffer, at), 0);
    this.blocks = [];
    this.usedOfLast = storedBytes;
    this.free = this.last.subarray(storedBytes);
  }
}
