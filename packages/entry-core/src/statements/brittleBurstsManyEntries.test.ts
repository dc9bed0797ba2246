/** Bursts at brittle servers of a large site. */
import { testBrittleBursts } from './testing/brittleBursts.js';

testBrittleBursts({ entries: 64, enginesPerDataCentre: 4, seeds: [3] });
