/**
 * Workspaces and bounds on callers, where operators replace the whole configuration at once instead
 * of naming workspaces in the settings of each entry.
 */
import * as z from 'zod';
import { nameSchema } from './routes.js';

const MAX_WORKSPACES = 10_000;

/** What one workspace may spend, over all entries together. */
export const allowanceSchema = z.strictObject({
  unit: z.enum(['requests', 'tokens']),
  perSecond: z.number().min(0),
  /** In any span of this length, no more than `perSecond` times the span and `burst` are spent. */
  windowMilliseconds: z.number().min(100).max(3_600_000).default(1000),
  /** What may be spent at once on top, after a quiet time. */
  burst: z.number().min(0),
  /**
   * What may be spent above the limit in a window where entries learn too late of each other's
   * spending. Without any, little may be spent between two reports.
   */
  tolerated: z.number().min(0).default(0),
  /** What a request counts that does not say its tokens. */
  plainTokens: z.number().min(0).default(0),
});

export const workspaceRowSchema = z.strictObject({
  name: nameSchema,
  /** SHA-256 of each of its keys, in lower-case hexadecimal digits. */
  keySha256: z.array(z.string().regex(/^[0-9a-f]{64}$/)).max(1000),
  /** Goes before the priority of a route; 0 is served first, 9 last. */
  priority: z.number().int().min(0).max(9).optional(),
  allowance: allowanceSchema.optional(),
});

export const workspaceRowsSchema = z.array(workspaceRowSchema).max(MAX_WORKSPACES);

/** What callers may send, and how long they may take. */
export const callerBoundsSchema = z.strictObject({
  headerBytes: z
    .number()
    .int()
    .min(1024)
    .max(1024 * 1024),
  bodyBytes: z
    .number()
    .int()
    .min(0)
    .max(1024 * 1024 * 1024),
  /** From the first byte of a request until its headers are there. */
  headerMilliseconds: z.number().min(1),
  /** How long a connection may stay without a request. */
  idleMilliseconds: z.number().min(1),
});

export type Allowance = z.infer<typeof allowanceSchema>;
export type WorkspaceRow = z.infer<typeof workspaceRowSchema>;
export type CallerBounds = z.infer<typeof callerBoundsSchema>;
