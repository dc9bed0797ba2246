/**
 * Collects the bytes of a body. Small pieces are copied into blocks: a piece of one byte is an object of
 * its own otherwise, and keeps all that was read with it.
 */

/** Larger pieces are kept as they are. */
const MIN_KEPT_BYTES = 16 * 1024;

const MIN_BLOCK_BYTES = 1024;
const MAX_BLOCK_BYTES = 64 * 1024;

export class BodyBytes {
  /** Number of bytes collected. */
  length = 0;

  /** Full blocks, and the used part of the last one. */
  private blocks: Buffer[] = [];

  /** Unused part of the last block. */
  private free: Buffer = Buffer.alloc(0);

  private usedOfLast = 0;

  private last: Buffer | undefined;

  add(piece: Buffer): void {
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
    const size = Math.max(leastBytes, MIN_BLOCK_BYTES, this.length);
    this.last = Buffer.allocUnsafe(Math.min(size, MAX_BLOCK_BYTES));
    this.free = this.last;
    this.usedOfLast = 0;
  }
}
