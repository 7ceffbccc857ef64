package io.cherryspool.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.ArrayList;
import java.util.List;

/**
 * Holds what a connection has received until the loop has read the connection to its end, and drops
 * it if the peer has closed by then.
 *
 * <p>A node that is behind finds requests in its sockets whose senders have given up. To decode and
 * answer them would take the time in which those that still wait could be answered, so that all of
 * them would be answered too late. A peer that closes only its sending side is not answered either.
 */
final class AbandonedRequestFilter extends ChannelInboundHandlerAdapter {
  /**
   * So much is held of a connection; a request that is larger is passed on as it comes. Otherwise
   * many large bodies at once would take all of the buffers' memory.
   */
  private static final int MAX_HELD_BYTES = 8 * 1024;

  private List<ByteBuf> received = new ArrayList<>(1);
  private int heldBytes;
  private boolean scheduled;

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    ByteBuf bytes = (ByteBuf) message;
    received.add(bytes);
    heldBytes += bytes.readableBytes();
    if (heldBytes > MAX_HELD_BYTES) {
      passOn(ctx);
    }
  }

  /** The end of the connection, if it has been read, closes the channel right after this call. */
  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (!scheduled && !received.isEmpty()) {
      scheduled = true;
      ctx.executor().execute(() -> passIfOpen(ctx));
    }
  }

  /** The buffers of a connection that has been closed are dropped. */
  private void passIfOpen(ChannelHandlerContext ctx) {
    scheduled = false;
    if (ctx.channel().isActive()) {
      passOn(ctx);
      ctx.fireChannelReadComplete();
    } else {
      take().forEach(ByteBuf::release);
    }
  }

  private void passOn(ChannelHandlerContext ctx) {
    take().forEach(ctx::fireChannelRead);
  }

  private List<ByteBuf> take() {
    List<ByteBuf> taken = received;
    received = new ArrayList<>(1);
    heldBytes = 0;
    return taken;
  }
}
