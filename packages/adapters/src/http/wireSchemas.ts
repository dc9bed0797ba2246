/** Schemas of the JSON answers that the HTTP adapters read. Unknown keys are dropped. */
import { instanceNameSchema, instancePlaceSchema, instanceStates } from '@hornbeampond/schema';
import * as z from 'zod';

const countSchema = z.number().int().min(0);

export const loadReportSchema = z.object({
  instance: z.string(),
  measuredAt: z.number(),
  running: countSchema,
  queued: countSchema,
  tokensPerSecond: z.number().min(0).optional(),
  firstTokenDelay: z.number().min(0).optional(),
  model: z.string().optional(),
  adapter: z.string().optional(),
  version: z.string().optional(),
});

export const cacheEventsSchema = z.object({
  newestSequence: countSchema,
  events: z.array(
    z.object({
      instance: z.string(),
      sequence: countSchema,
      change: z.enum(['stored', 'evicted', 'cleared']),
      prefixDigests: z.array(z.string()),
    }),
  ),
});

export const orderResultSchema = z.object({
  result: z.enum(['done', 'refusedAsOld', 'failed']),
});

/** The latest time that a date can hold, in milliseconds since 1970. */
const MAX_EPOCH_MILLISECONDS = 8.64e15;

const epochSchema = z.number().min(0).max(MAX_EPOCH_MILLISECONDS);

/** The last label of a host name has a letter, or it would be an address. */
const hostSchema = z.union([z.ipv4(), z.ipv6(), z.hostname().regex(/[a-z][^.]*$/i)]);

export const platformInstanceSchema = z.object({
  instance: instanceNameSchema,
  dataCentre: instancePlaceSchema,
  instanceClass: instancePlaceSchema,
  pool: instancePlaceSchema,
  state: z.enum(instanceStates),
  host: hostSchema,
  port: z.number().int().min(0).max(65_535),
  goneAt: epochSchema.optional(),
  startToken: z.string().optional(),
});

/** The rows are decoded one by one. */
export const instanceListSchema = z.object({ instances: z.array(z.unknown()) });

export const instanceStartSchema = z.union([
  z.object({ instance: platformInstanceSchema }),
  z.object({ refused: z.string() }),
]);

export const noticeSchema = z.object({ instance: instanceNameSchema, goneAt: epochSchema });

/** The rows are decoded one by one. */
export const noticesSchema = z.object({ notices: z.array(z.unknown()) });

export const loadPermissionSchema = z.union([
  z.object({ granted: z.literal(true) }),
  z.object({ granted: z.literal(false), retryAfterMilliseconds: z.number().min(0) }),
]);

export const loadRateSchema = z.object({
  loadsPerMinute: z.number().min(0),
  available: z.number().min(0),
});

/** One `data:` line of a streamed answer, in the OpenAI `chat.completion.chunk` format. */
export const completionChunkSchema = z.object({
  choices: z
    .array(
      z.object({
        delta: z
          .object({
            content: z.string().nullish(),
            // Only text can be resumed; other content must fail rather than be dropped silently.
            tool_calls: z.null('tool calls are not supported').optional(),
            function_call: z.null('function calls are not supported').optional(),
          })
          .optional(),
        finish_reason: z.string().nullish(),
      }),
    )
    .max(1, 'one choice is supported'),
  /** Tokens in this chunk; 1 if missing. */
  tokens: countSchema.optional(),
  usage: z.object({ prompt_tokens: countSchema, completion_tokens: countSchema }).nullish(),
});
