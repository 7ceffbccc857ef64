/**
 * Records and messages as earlier versions wrote them, for the tests beside the codecs that must
 * read and write them unchanged.
 */
package io.cherryspool.compatibility;
